//! The operators' membership file (TOML): the listening address, the allowed networks and the protocol timings.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use yarrowfront::times::Micros;

/// An IP network in CIDR notation, such as `10.2.0.0/16`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Network {
    base: IpAddr,
    bits: u32,
}

impl FromStr for Network {
    type Err = String;

    fn from_str(text: &str) -> Result<Network, String> {
        let bad = || format!("not a network like 10.2.0.0/16: {text:?}");
        let (base, bits) = text.split_once('/').ok_or_else(bad)?;
        let base: IpAddr = base.parse().map_err(|_| bad())?;
        let bits: u32 = bits.parse().map_err(|_| bad())?;
        match bits <= if base.is_ipv4() { 32 } else { 128 } {
            true => Ok(Network { base, bits }),
            false => Err(bad()),
        }
    }
}

impl TryFrom<String> for Network {
    type Error = String;

    fn try_from(text: String) -> Result<Network, String> {
        text.parse()
    }
}

impl Network {
    /// Whether the address belongs to this network. IPv4 and IPv6 never match each other.
    pub fn contains(&self, ip: IpAddr) -> bool {
        // The bits of an IPv4 address are placed at the top of the 128, so that one shift serves both versions.
        let bits = |ip: IpAddr| match ip {
            IpAddr::V4(ip) => u128::from(ip.to_bits()) << 96,
            IpAddr::V6(ip) => ip.to_bits(),
        };
        let differs = bits(self.base) ^ bits(ip);
        self.base.is_ipv4() == ip.is_ipv4() && differs.checked_shr(128 - self.bits).unwrap_or(0) == 0
    }
}

/// The checked content of the membership file.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewConfig {
    /// The name of the fleet. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// The UDP address on which this node listens.
    pub listen: SocketAddr,
    /// The address announced to other nodes, if it differs from `listen`.
    pub address: Option<SocketAddr>,
    /// Datagrams are accepted from and sent to addresses in these networks only.
    pub networks: Vec<Network>,
    /// Addresses through which the fleet is discovered.
    pub seeds: Vec<SocketAddr>,
    /// A file with further seeds, one address per line, which is read again periodically.
    pub seeds_file: Option<String>,
    /// By member name, the address at which this node reaches the member, if it differs from the announced one.
    pub address_overrides: BTreeMap<String, SocketAddr>,
    /// Whether balancing decisions use the node count that the view yields, instead of the configured one.
    pub use_view_share: bool,
    pub timing: Timing,
    /// The limit on bytes sent per second, not counting the fixed part of probes and acks.
    pub bytes_per_s: u32,
    /// The most members kept, including this node.
    pub max_members: usize,
}

/// The protocol timings. The file states each in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The time between two probe rounds of a node.
    pub probe_interval: Micros,
    /// How long a direct probe may stay unanswered before other members are asked to probe indirectly.
    pub probe_timeout: Micros,
    /// The time between two attempts to reach seeds and members that were declared dead.
    pub seed_interval: Micros,
    /// How long a member is remembered after it died or left.
    pub forget_after: Micros,
    /// How long a node must have been dead before the others take over its share.
    pub takeover_delay: Micros,
    /// How long after it last saw a majority a node gives up the part of its share that others may take over.
    pub release_after: Micros,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ViewFile {
    fleet: String,
    listen: SocketAddr,
    address: Option<SocketAddr>,
    networks: Vec<Network>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    seeds_file: Option<String>,
    #[serde(default)]
    via: BTreeMap<String, SocketAddr>,
    #[serde(default = "default_portions")]
    portions: bool,
    #[serde(default)]
    times: TimingMillis,
    #[serde(default = "default_bytes_per_s")]
    bytes_per_s: u32,
    #[serde(default = "default_most_members")]
    most_members: usize,
}

fn default_portions() -> bool {
    true
}

/// Leaves room for partitions and their healing: an idle node sends about 1 kB per second (docs/view.md).
fn default_bytes_per_s() -> u32 {
    5000
}

/// Enough for 2,000 nodes and as many again that came and went within `forget`.
fn default_most_members() -> usize {
    4096
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TimingMillis {
    period: u64,
    answer: Option<u64>,
    seeds: u64,
    forget: u64,
    sure: u64,
    release: u64,
}

impl Default for TimingMillis {
    /// With this probe interval a death is known everywhere within 3 s in a fleet of 1,000 nodes. The other defaults
    /// follow from that.
    fn default() -> TimingMillis {
        TimingMillis { period: 200, answer: None, seeds: 1000, forget: 600_000, sure: 15_000, release: 3000 }
    }
}

impl ViewConfig {
    /// A configuration with the default timings for a fleet on the loopback network, for tests and simulations.
    pub fn with_defaults(fleet: &str, listen: SocketAddr) -> ViewConfig {
        let text = format!("fleet = {fleet:?}\nlisten = \"{listen}\"\nnetworks = [\"127.0.0.0/8\"]");
        ViewConfig::from_toml(&text).unwrap_or_else(|why| panic!("{why}"))
    }

    /// Parses and checks the file. An error names the key, or the line if the text itself cannot be parsed.
    pub fn from_toml(text: &str) -> Result<ViewConfig, String> {
        let file: ViewFile = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |at| text[..at.start].matches('\n').count() + 1);
            format!("line {line}: {}", error.message().lines().next().unwrap_or_default())
        })?;
        let max_bytes = crate::wire::MAX_TEXT_BYTES;
        if file.fleet.is_empty() || file.fleet.len() > max_bytes {
            return Err(format!("fleet must have 1 to {max_bytes} bytes"));
        }
        if file.networks.is_empty() {
            return Err("networks is empty: no datagram could be accepted".to_owned());
        }
        let announced = file.address.unwrap_or(file.listen);
        if announced.ip().is_unspecified() || announced.port() == 0 {
            return Err(format!("address is missing: other nodes cannot send to {announced}"));
        }
        let via = file.via.iter().map(|(name, at)| (format!("via.{name}"), *at));
        let seeds = file.seeds.iter().enumerate().map(|(i, at)| (format!("seeds[{i}]"), *at));
        for (key, at) in via.chain(seeds).chain([("address".to_owned(), announced)]) {
            if !file.networks.iter().any(|network| network.contains(at.ip())) {
                return Err(format!("{key}: {at} is in none of the networks"));
            }
        }
        let times = &file.times;
        let answer = times.answer.unwrap_or(times.period * 2 / 5);
        let ranges = [
            ("times.period", times.period, 20, 60_000),
            ("times.answer", answer, 1, times.period * 4 / 5),
            ("times.seeds", times.seeds, 50, 600_000),
            ("times.forget", times.forget, 1000, 7 * 86_400_000),
            ("times.release", times.release, times.period * 4, 600_000),
            // A node that is cut off must have released its share before the others take it over.
            ("times.sure", times.sure, times.release * 4, 86_400_000),
            ("bytes_per_s", u64::from(file.bytes_per_s), 500, 10_000_000),
            ("most_members", file.most_members as u64, 2, 100_000),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(format!("{key} must be from {least} to {most}, but is {value}"));
            }
        }
        let [probe_interval, probe_timeout, seed_interval, forget_after, takeover_delay, release_after] =
            [times.period, answer, times.seeds, times.forget, times.sure, times.release]
                .map(Micros::from_millis);
        Ok(ViewConfig {
            fleet: file.fleet,
            listen: file.listen,
            address: file.address,
            networks: file.networks,
            seeds: file.seeds,
            seeds_file: file.seeds_file,
            address_overrides: file.via,
            use_view_share: file.portions,
            timing: Timing {
                probe_interval,
                probe_timeout,
                seed_interval,
                forget_after,
                takeover_delay,
                release_after,
            },
            bytes_per_s: file.bytes_per_s,
            max_members: file.most_members,
        })
    }

    /// Whether datagrams from and to this address are permitted.
    pub fn allows(&self, at: SocketAddr) -> bool {
        self.networks.iter().any(|network| network.contains(at.ip()))
    }
}
