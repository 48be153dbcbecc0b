//! Tests of the client against the project's fake platform, which models outages, lost answers and a
//! list of VMs that lags. Guards against the client and the fake interpreting the published API
//! differently.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use fake::fakeplatform::{FakePlatform, FakeVm, OutageMode};
use platform::{PlatformClient, PlatformError};

fn start_platform() -> (FakePlatform, PlatformClient) {
    let platform = FakePlatform::start(0).unwrap();
    let client = PlatformClient::new(platform.address(), Duration::from_secs(2));
    (platform, client)
}

#[test]
fn compare_and_swap_with_a_lost_answer() {
    let (platform, client) = start_platform();
    assert_eq!(client.get("cicadawick/config").unwrap(), None);
    assert!(client.put("cicadawick/config", b"one", 0).unwrap());
    assert!(!client.put("cicadawick/config", b"two", 0).unwrap());
    let stored = client.get("cicadawick/config").unwrap().unwrap();
    assert_eq!(stored.bytes, b"one");
    platform.drop_next_answers(1);
    let error = client.put("cicadawick/config", b"two", stored.modify_index).unwrap_err();
    assert!(matches!(error, PlatformError::Unreachable { .. }), "{error}");
    assert_eq!(client.get("cicadawick/config").unwrap().unwrap().bytes, b"two");
    platform.set_outage(OutageMode::Refuse).unwrap();
    assert!(matches!(client.get("k"), Err(PlatformError::Unreachable { .. })));
    platform.set_outage(OutageMode::None).unwrap();
    assert_eq!(client.get("k").unwrap(), None);
}

#[test]
fn watches_wake_up() {
    let (platform, client) = start_platform();
    let (value, index) = client.watch("k", 0, Duration::from_secs(5)).unwrap();
    assert_eq!(value, None);
    let waiting = std::thread::spawn({
        let client = client.clone();
        move || client.watch("k", index, Duration::from_secs(20)).unwrap()
    });
    std::thread::sleep(Duration::from_millis(100));
    let start = Instant::now();
    assert!(client.put("k", b"v", 0).unwrap());
    let (value, next) = waiting.join().unwrap();
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(value.unwrap().bytes, b"v");
    assert!(next > index);

    let (vms, index) = client.watch_vms(0, Duration::from_secs(5)).unwrap();
    assert!(vms.is_empty());
    platform.put_vm(FakeVm {
        name: "vm-1".to_string(),
        data_centre: "north".to_string(),
        peer_address: "10.0.0.1:7400".parse().unwrap(),
        admin_port: 7401,
        leaving: false,
    });
    let (vms, index) = client.watch_vms(index, Duration::from_secs(20)).unwrap();
    assert_eq!((vms.len(), vms[0].leaving), (1, false));
    assert_eq!(vms[0].admin_address, "10.0.0.1:7401".parse().unwrap());
    platform.mark_leaving("vm-1").unwrap();
    let (vms, _) = client.watch_vms(index, Duration::from_secs(20)).unwrap();
    assert!(vms[0].leaving);
}
