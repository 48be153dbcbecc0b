//! Processor time of single decisions, as the number of callers and databases grows.
//!
//! Each figure is the mean over many decisions in one thread. The slope of a row is the exponent b of
//! time = a x size^b, fitted over the sizes of the row: 0 is constant, 1 is linear.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use admit::{QueueConfig, RequestId, SlotQueue, SlotRequest};
use failover::{
    ClusterMonitor, DatabaseReport, DatabaseRole, MonitorAction, MonitorConfig, MonitorEvent,
};
use model::{
    CallerLabels, FleetConfig, LabelSelector, LabelSet, LogPosition, Micros, Name, Rank,
    RankConfig, RankMap, SelectorConfig, Term,
};
use route::{DatabaseHint, SelectorTable, choose_database};
use stats::{CallerMeasure, CallerTable};

/// Numbers of callers at which decisions are measured.
pub const CALLER_COUNTS: [usize; 4] = [10, 100, 1_000, 10_000];
/// Numbers of databases at which decisions are measured.
pub const DATABASE_COUNTS: [usize; 4] = [1, 10, 100, 680];

/// Times of one decision at increasing sizes.
#[derive(Clone, Debug)]
pub struct DecisionRow {
    pub decision: &'static str,
    /// Unit of the sizes.
    pub unit: &'static str,
    /// Size, and nanoseconds of one decision.
    pub points: Vec<(usize, f64)>,
}

impl DecisionRow {
    /// Returns the exponent of the growth, fitted by least squares to the logarithms.
    pub fn slope(&self) -> f64 {
        let count = self.points.len() as f64;
        let logs = self.points.iter().map(|(size, nanos)| ((*size as f64).ln(), nanos.ln()));
        let (mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0);
        for (size, nanos) in logs {
            x += size;
            y += nanos;
            xx += size * size;
            xy += size * nanos;
        }
        (count * xy - x * y) / (count * xx - x * x)
    }
}

/// Returns the names `prefix-0` to `prefix-(count - 1)`.
fn names(prefix: &str, count: usize) -> Vec<Name> {
    (0..count).map(|index| Name::from(format!("{prefix}-{index}"))).collect()
}

/// Maps an index to one of `count` places, so that consecutive indexes are far apart.
fn spread(index: usize, count: usize) -> usize {
    ((index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 17) as usize % count
}

/// Returns the mean nanoseconds of `decide`, which is called with the number of the turn.
fn measure(turns: usize, mut decide: impl FnMut(usize)) -> f64 {
    for turn in 0..turns / 10 {
        decide(turn);
    }
    let start = Instant::now();
    for turn in turns / 10..turns / 10 + turns {
        decide(turn);
    }
    start.elapsed().as_nanos() as f64 / turns as f64
}

/// Measures enqueue, grant and finish in one of `databases` queues. One request of each of `callers`
/// callers waits in every queue.
fn measure_queue(databases: usize, callers: usize, turns: usize) -> f64 {
    let callers = names("caller", callers);
    let rank = RankConfig { floor_percent: 10, queue_limit: 1_000_000 };
    let config = QueueConfig { slots: 2, ranks: RankMap([rank; 3]) };
    let selector = Name::from("balance");
    let slot_request = |id: usize, caller: &Name| SlotRequest {
        request: RequestId(id as u64),
        rank: Rank::Interactive,
        caller: caller.clone(),
        deadline: Micros::MAX,
        selector: selector.clone(),
        in_transaction: false,
    };
    let mut queues: Vec<SlotQueue> =
        (0..databases).map(|_| SlotQueue::new(config.clone())).collect();
    for queue in &mut queues {
        for (id, caller) in callers.iter().enumerate() {
            let _ = queue.enqueue(Micros(0), slot_request(id, caller));
        }
    }
    measure(turns, |turn| {
        let queue = &mut queues[spread(turn, databases)];
        let now = Micros(turn as u64 * 10);
        let id = callers.len() + turn;
        let _ =
            black_box(queue.enqueue(now, slot_request(id, &callers[spread(turn, callers.len())])));
        if let Some(grant) = queue.grant(now) {
            queue.finish(now + Micros(5), grant.request);
        }
    })
}

/// Returns a configuration with 20 selectors and `callers` label rules, each of which matches one user.
fn fleet_config(callers: usize) -> FleetConfig {
    let matches = |text: String| text.parse::<LabelSelector>().unwrap_or_default();
    FleetConfig {
        callers: (0..callers)
            .map(|index| CallerLabels {
                matches: matches(format!("user=caller-{index}")),
                labels: LabelSet::from_pairs([("kind", "kiosk")]),
            })
            .collect(),
        selectors: (0..20)
            .map(|index| SelectorConfig {
                name: Name::from(format!("selector-{index}")),
                matches: matches(format!("kind=kiosk,work=w{index}")),
                rank: Rank::Interactive,
                max_age: Micros::from_secs(5),
                deadline: Micros::from_secs(1),
                durable: false,
                servers: LabelSelector::default(),
            })
            .collect(),
        ..FleetConfig::default()
    }
}

/// Measures the choice of a policy among 20 selectors of which the last matches. Each caller has its own
/// labels.
fn measure_policy(callers: usize, turns: usize) -> f64 {
    let table = SelectorTable::compile(&fleet_config(0));
    let labels: Vec<LabelSet> = names("caller", callers)
        .iter()
        .map(|user| LabelSet::from_pairs([("kind", "kiosk"), ("work", "w19"), ("user", user)]))
        .collect();
    measure(turns, |turn| {
        black_box(table.policy(black_box(&labels[spread(turn, callers)])));
    })
}

/// Measures the labelling of a new session with `callers` label rules.
fn measure_caller_labels(callers: usize, turns: usize) -> f64 {
    let table = SelectorTable::compile(&fleet_config(callers));
    let attributes = LabelSet::from_pairs([("user", "caller-0"), ("address", "10.0.0.1")]);
    measure(turns, |_| {
        black_box(table.caller_labels(black_box(&attributes)));
    })
}

/// Measures the choice among the databases of one cluster.
fn measure_choice(databases: usize, turns: usize) -> f64 {
    let table = SelectorTable::compile(&fleet_config(0));
    let labels = LabelSet::from_pairs([("kind", "kiosk"), ("work", "w0")]);
    let policy = table.policy(&labels);
    let hints: Vec<DatabaseHint> = names("db", databases)
        .into_iter()
        .enumerate()
        .map(|(index, database)| DatabaseHint {
            database,
            data_centre: Name::from(format!("dc-{}", index % 4)),
            leader: index == 0,
            leaving: false,
            age: Some(Micros::from_millis(20)),
            wait: Micros(index as u64),
            excluded: false,
            labels: LabelSet::default(),
        })
        .collect();
    let own = Name::from("dc-1");
    measure(turns, |_| {
        black_box(choose_database(&policy, true, None, &own, black_box(&hints)));
    })
}

/// Measures one count in a table of 2,048 callers.
fn measure_count(callers: usize, turns: usize) -> f64 {
    let callers = names("caller", callers);
    let mut table = CallerTable::new(2_048);
    measure(turns, |turn| {
        let caller = &callers[spread(turn, callers.len())];
        let now = Micros(turn as u64);
        table.count(now, caller, Rank::Interactive, CallerMeasure::Requests, 1);
    })
}

/// Measures one report round of a cluster; returns the time for each of its databases.
fn measure_round(databases: usize, turns: usize) -> f64 {
    let databases = names("db", databases);
    let mut monitor = ClusterMonitor::new(MonitorConfig::default(), databases.clone());
    let mut actions = Vec::new();
    let nanos = measure(turns / databases.len() + 1, |turn| {
        let now = Micros(1 + turn as u64 * 250_000);
        monitor.handle(now, MonitorEvent::Timer, &mut actions);
        for action in std::mem::take(&mut actions) {
            let MonitorAction::RequestReport { database, round } = action else { continue };
            let primary = database == databases[0];
            let report = DatabaseReport {
                term: Term(1),
                role: if primary { DatabaseRole::Primary } else { DatabaseRole::Replica },
                log_term: Term(1),
                received: LogPosition(turn as u64),
                applied: LogPosition(turn as u64),
                term_start: LogPosition(0),
                previous_term: Term(0),
            };
            monitor.handle(
                now,
                MonitorEvent::ReportArrived { database, round, report },
                &mut actions,
            );
        }
        actions.clear();
    });
    nanos / databases.len() as f64
}

/// Measures all decisions; `turns` is the number of decisions of each point.
pub fn measure_decisions(turns: usize) -> Vec<DecisionRow> {
    let row = |decision, unit, sizes: &[usize], run: &dyn Fn(usize) -> f64| DecisionRow {
        decision,
        unit,
        points: sizes.iter().map(|size| (*size, run(*size))).collect(),
    };
    vec![
        row("enqueue, grant, finish", "callers", &CALLER_COUNTS, &|size| {
            measure_queue(1, size, turns)
        }),
        row("enqueue, grant, finish", "databases", &DATABASE_COUNTS, &|size| {
            measure_queue(size, 10, turns)
        }),
        row("policy (20 selectors)", "callers", &CALLER_COUNTS, &|size| {
            measure_policy(size, turns)
        }),
        row("labels of a new session", "label rules", &CALLER_COUNTS[..3], &|size| {
            measure_caller_labels(size, turns / 20)
        }),
        row("choose_database", "databases", &DATABASE_COUNTS, &|size| {
            measure_choice(size, turns / 20)
        }),
        row("count", "callers", &CALLER_COUNTS, &|size| measure_count(size, turns)),
        row("report in a round", "databases", &[3, 5, 7], &|size| measure_round(size, turns)),
    ]
}

/// Renders a line for each decision.
pub fn render_table(turns: usize) -> String {
    let mut table = String::from("decision                 grows          size: ns\n");
    for row in measure_decisions(turns) {
        let points: Vec<String> =
            row.points.iter().map(|(size, nanos)| format!("{size}: {nanos:.0}")).collect();
        let _ = writeln!(
            table,
            "{:<24} {:<12} {}  slope {:.2}",
            row.decision,
            row.unit,
            points.join("  "),
            row.slope()
        );
    }
    table
}
