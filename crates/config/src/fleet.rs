//! Parsing and validation of the operators' configuration.

use capnp::dynamic_value::Builder;
use capnp::struct_list;
use model::{
    CallerLabels, ClusterConfig, DatabaseConfig, FastMap, FleetConfig, LabelSelector, LabelSet,
    MatchOperator, MatchRule, Micros, Rank, RankConfig, RankMap, SelectorConfig,
};
use schema::fleet_capnp::{RankName, fleet_config, label, rank_share};

use crate::ConfigError;
use crate::parser::SchemaParser;

/// Maximum sum of the minimum shares of all ranks, in percent. The rest of the slot time stays
/// available to the most urgent requests.
const MAX_SHARE_SUM_PERCENT: u32 = 90;

/// Parses and validates a configuration text. `revision` is the one of the envelope.
///
/// # Errors
///
/// Returns all errors, in the order of the text.
///
/// ```
/// let text = config::render_example(config::ExampleFile::Fleet);
/// let config = config::parse_fleet("fleet.jsonc", &text, 7).unwrap();
/// assert_eq!((config.revision, config.clusters.len()), (7, 1));
/// ```
pub fn parse_fleet(file: &str, text: &str, revision: u64) -> Result<FleetConfig, Vec<ConfigError>> {
    let mut message = capnp::message::Builder::new_default();
    let mut root = message.init_root::<fleet_config::Builder<'_>>();
    let mut parser = SchemaParser::new(file, text);
    if let Builder::Struct(builder) = Builder::from(root.reborrow()) {
        parser.parse(builder);
    }
    let reader = root.into_reader();
    let checked = check_databases(&mut parser, reader)
        .and_then(|()| check_selectors(&mut parser, reader))
        .and_then(|()| check_ranks(&mut parser, reader));
    parser.finish()?;
    checked
        .and_then(|()| convert_config(reader, revision))
        .map_err(|error| vec![crate::schema_error(file, &error)])
}

/// Reports duplicate names and addresses, and databases with more slots than connections.
fn check_databases(
    parser: &mut SchemaParser<'_>,
    reader: fleet_config::Reader<'_>,
) -> capnp::Result<()> {
    let mut cluster_paths: FastMap<String, String> = FastMap::default();
    // Key path of each database's name and index of its cluster, by name.
    let mut names: FastMap<String, (String, usize)> = FastMap::default();
    // Key path of each address, by address.
    let mut addresses: FastMap<String, String> = FastMap::default();
    for (index, cluster) in reader.get_clusters()?.iter().enumerate() {
        let path = format!("clusters[{index}].name");
        if parser.is_accepted(&path) {
            let name = cluster.get_name()?.to_string()?;
            if let Some(first) = cluster_paths.get(&name) {
                let message =
                    format!("duplicate cluster name {name:?}, first in {}", parser.line_of(first));
                parser.reject(&path, message);
            } else {
                cluster_paths.insert(name, path);
            }
        }
        for (position, database) in cluster.get_databases()?.iter().enumerate() {
            let path = format!("clusters[{index}].databases[{position}]");
            let name_path = format!("{path}.name");
            if parser.is_accepted(&name_path) {
                let name = database.get_name()?.to_string()?;
                match names.get(&name) {
                    Some((first, other)) if *other == index => {
                        let line = parser.line_of(first);
                        let message = format!("duplicate database name {name:?}, first in {line}");
                        parser.reject(&name_path, message);
                    }
                    Some((first, other)) => {
                        let message = format!(
                            "database {name:?} is already in clusters[{other}] in {}",
                            parser.line_of(first)
                        );
                        parser.reject(&name_path, message);
                    }
                    None => {
                        names.insert(name, (name_path, index));
                    }
                }
            }
            let address_path = format!("{path}.address");
            if parser.is_accepted(&address_path) {
                let address = database.get_address()?.to_string()?;
                if let Some(first) = addresses.get(&address) {
                    let message =
                        format!("address {address} is already used in {}", parser.line_of(first));
                    parser.reject(&address_path, message);
                } else {
                    addresses.insert(address, address_path);
                }
            }
            let (slots, connections) = (database.get_slots(), database.get_connections());
            if parser.is_accepted(&format!("{path}.connections")) && slots > connections {
                let message =
                    format!("expected at most the {connections} connections, found {slots}");
                parser.reject(&format!("{path}.slots"), message);
            }
        }
    }
    Ok(())
}

/// Reports duplicate names, and selectors that are unreachable because an earlier one covers them.
fn check_selectors(
    parser: &mut SchemaParser<'_>,
    reader: fleet_config::Reader<'_>,
) -> capnp::Result<()> {
    let mut names: FastMap<String, String> = FastMap::default();
    let mut earlier_selectors: Vec<(Vec<MatchRule>, String)> = Vec::new();
    for (index, selector) in reader.get_selectors()?.iter().enumerate() {
        let path = format!("selectors[{index}].name");
        let name = selector.get_name()?.to_string()?;
        if parser.is_accepted(&path) {
            if let Some(first) = names.get(&name) {
                let message =
                    format!("duplicate selector name {name:?}, first in {}", parser.line_of(first));
                parser.reject(&path, message);
            } else {
                names.insert(name.clone(), path);
            }
        }
        let path = format!("selectors[{index}].matches");
        let Ok(matches) = selector.get_matches()?.to_str()?.parse::<LabelSelector>() else {
            continue;
        };
        if !parser.is_accepted(&path) {
            continue;
        }
        let rules: Vec<MatchRule> = matches.rules.into_iter().map(canonical_rule).collect();
        // If all rules of an earlier selector are among these rules, it matches everything that these
        // match.
        let covering = earlier_selectors
            .iter()
            .find(|(other, _)| other.iter().all(|rule| rules.contains(rule)));
        if let Some((_, covering)) = covering {
            let message = format!(
                "unreachable: the earlier selector in {} matches all that this one matches",
                parser.line_of(covering)
            );
            parser.reject(&path, message);
        }
        earlier_selectors.push((rules, path));
    }
    Ok(())
}

/// Sorts the values of a rule and removes duplicates, so that rules with the same meaning are equal.
fn canonical_rule(rule: MatchRule) -> MatchRule {
    let ordered = |mut values: Vec<model::Name>| {
        values.sort();
        values.dedup();
        values
    };
    let operator = match rule.operator {
        MatchOperator::In(values) => MatchOperator::In(ordered(values)),
        MatchOperator::NotIn(values) => MatchOperator::NotIn(ordered(values)),
        other => other,
    };
    MatchRule { key: rule.key, operator }
}

/// Reports minimum shares whose sum exceeds the limit.
fn check_ranks(
    parser: &mut SchemaParser<'_>,
    reader: fleet_config::Reader<'_>,
) -> capnp::Result<()> {
    let ranks = reader.get_ranks()?;
    let shares = [ranks.get_urgent()?, ranks.get_interactive()?, ranks.get_batch()?];
    let sum: u32 = shares.iter().map(|share| share.get_floor_percent()).sum();
    if sum > MAX_SHARE_SUM_PERCENT {
        let message = format!(
            "sum of floor_percent over all ranks: expected at most {MAX_SHARE_SUM_PERCENT}, found {sum}"
        );
        parser.reject("ranks", message);
    }
    Ok(())
}

fn convert_config(reader: fleet_config::Reader<'_>, revision: u64) -> capnp::Result<FleetConfig> {
    let mut clusters = Vec::new();
    for cluster in reader.get_clusters()? {
        let mut databases = Vec::new();
        for database in cluster.get_databases()? {
            databases.push(DatabaseConfig {
                name: database.get_name()?.to_str()?.into(),
                data_centre: database.get_data_centre()?.to_str()?.into(),
                address: crate::parse_address(database.get_address()?)?,
                labels: convert_labels(database.get_labels()?)?,
                slots: database.get_slots(),
                connections: database.get_connections(),
                leaving: database.get_leaving(),
            });
        }
        clusters.push(ClusterConfig { name: cluster.get_name()?.to_str()?.into(), databases });
    }
    let mut callers = Vec::new();
    for caller in reader.get_callers()? {
        callers.push(CallerLabels {
            matches: convert_selector(caller.get_matches()?)?,
            labels: convert_labels(caller.get_labels()?)?,
        });
    }
    let mut selectors = Vec::new();
    for selector in reader.get_selectors()? {
        selectors.push(SelectorConfig {
            name: selector.get_name()?.to_str()?.into(),
            matches: convert_selector(selector.get_matches()?)?,
            rank: match selector.get_rank()? {
                RankName::Urgent => Rank::Urgent,
                RankName::Interactive => Rank::Interactive,
                RankName::Batch => Rank::Batch,
            },
            max_age: Micros::from_millis(selector.get_max_age_ms().into()),
            deadline: Micros::from_millis(selector.get_deadline_ms().into()),
            durable: selector.get_durable(),
            servers: convert_selector(selector.get_servers()?)?,
        });
    }
    let ranks = reader.get_ranks()?;
    let share = |share: rank_share::Reader<'_>| RankConfig {
        floor_percent: share.get_floor_percent(),
        queue_limit: share.get_queue_limit(),
    };
    let ranks = RankMap([
        share(ranks.get_urgent()?),
        share(ranks.get_interactive()?),
        share(ranks.get_batch()?),
    ]);
    Ok(FleetConfig { revision, clusters, callers, selectors, ranks })
}

fn convert_labels(reader: struct_list::Reader<'_, label::Owned>) -> capnp::Result<LabelSet> {
    let mut labels = LabelSet::default();
    for label in reader {
        labels.0.insert(label.get_key()?.to_str()?.into(), label.get_value()?.to_str()?.into());
    }
    Ok(labels)
}

fn convert_selector(text: capnp::text::Reader<'_>) -> capnp::Result<LabelSelector> {
    text.to_str()?
        .parse()
        .map_err(|error: model::LabelError| capnp::Error::failed(error.to_string()))
}
