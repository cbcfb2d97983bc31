//! The operators' file: where a node's view listens, whom it may hear, and its times.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use yarrowfront::times::Micros;

/// Addresses whose first so many bits are these.
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
    pub fn has(&self, ip: IpAddr) -> bool {
        // A fourth version's bits stand at the front, so that one shift serves both.
        let bits = |ip: IpAddr| match ip {
            IpAddr::V4(ip) => u128::from(ip.to_bits()) << 96,
            IpAddr::V6(ip) => ip.to_bits(),
        };
        let differs = bits(self.base) ^ bits(ip);
        self.base.is_ipv4() == ip.is_ipv4() && differs.checked_shr(128 - self.bits).unwrap_or(0) == 0
    }
}

/// All that the operators say of the view.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewTerms {
    /// What the fleet is called: datagrams of another one are dropped.
    pub fleet: String,
    /// Where datagrams are heard, and where others are told to send them if that is another place.
    pub listen: SocketAddr,
    pub address: Option<SocketAddr>,
    /// Only addresses in these are heard and sent to.
    pub networks: Vec<Network>,
    /// Whom to find the fleet by; besides, a file with one address a line, which is read again.
    pub seeds: Vec<SocketAddr>,
    pub seeds_file: Option<String>,
    /// Where a member is reached from here, if not where it says.
    pub via: BTreeMap<String, SocketAddr>,
    /// Whether the decisions go by the view's number of nodes.
    pub portions: bool,
    pub times: Times,
    /// The most bytes a second that are sent beyond asks and answers themselves, and the most members held.
    pub bytes_per_s: u32,
    pub most_members: usize,
}

/// The view's times, each stated in milliseconds in the file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Between two asks of a node, and how long an answer may take before others are asked to ask.
    pub period: Micros,
    pub answer: Micros,
    /// Between two tries of seeds and of members called dead.
    pub seeds: Micros,
    /// How long after its death or its leaving a member is forgotten.
    pub forget: Micros,
    /// How long a missing node must have been dead until its portion is taken, and how long after its last sight of
    /// a majority a node lets go of its own.
    pub sure: Micros,
    pub release: Micros,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: String,
    listen: SocketAddr,
    address: Option<SocketAddr>,
    networks: Vec<Network>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    seeds_file: Option<String>,
    #[serde(default)]
    via: BTreeMap<String, SocketAddr>,
    #[serde(default = "yes")]
    portions: bool,
    #[serde(default)]
    times: Millis,
    #[serde(default = "bytes")]
    bytes_per_s: u32,
    #[serde(default = "members")]
    most_members: usize,
}

fn yes() -> bool {
    true
}

/// For partitions and their ends: while nothing happens a node sends about 1 kB a second (docs/view.md).
fn bytes() -> u32 {
    5000
}

/// Two thousand nodes, and as many again that came and went within the time to forget.
fn members() -> usize {
    4096
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Millis {
    period: u64,
    answer: Option<u64>,
    seeds: u64,
    forget: u64,
    sure: u64,
    release: u64,
}

impl Default for Millis {
    /// A death is known everywhere within three seconds at a thousand nodes; the others follow from that.
    fn default() -> Millis {
        Millis { period: 200, answer: None, seeds: 1000, forget: 600_000, sure: 15_000, release: 3000 }
    }
}

impl ViewTerms {
    /// Terms with the usual times, for a fleet of that name on loopback. For tests and plays.
    pub fn plain(fleet: &str, listen: SocketAddr) -> ViewTerms {
        let text = format!("fleet = {fleet:?}\nlisten = \"{listen}\"\nnetworks = [\"127.0.0.0/8\"]");
        ViewTerms::from_toml(&text).unwrap_or_else(|why| panic!("{why}"))
    }

    /// Reads the file; an error names the key, and the line where the text itself is bad.
    pub fn from_toml(text: &str) -> Result<ViewTerms, String> {
        let file: File = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |at| text[..at.start].matches('\n').count() + 1);
            format!("line {line}: {}", error.message().lines().next().unwrap_or_default())
        })?;
        let longest = crate::wire::LONGEST_TEXT;
        if file.fleet.is_empty() || file.fleet.len() > longest {
            return Err(format!("fleet has to have 1 to {longest} bytes"));
        }
        if file.networks.is_empty() {
            return Err("networks is empty: nobody could be heard".to_owned());
        }
        let told = file.address.unwrap_or(file.listen);
        if told.ip().is_unspecified() || told.port() == 0 {
            return Err(format!("address is missing: nobody can be told to send to {told}"));
        }
        let via = file.via.iter().map(|(name, at)| (format!("via.{name}"), *at));
        let seeds = file.seeds.iter().enumerate().map(|(i, at)| (format!("seeds[{i}]"), *at));
        for (key, at) in via.chain(seeds).chain([("address".to_owned(), told)]) {
            if !file.networks.iter().any(|network| network.has(at.ip())) {
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
            // Whoever is cut off must have let go before the others take it.
            ("times.sure", times.sure, times.release * 4, 86_400_000),
            ("bytes_per_s", u64::from(file.bytes_per_s), 500, 10_000_000),
            ("most_members", file.most_members as u64, 2, 100_000),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(format!("{key} has to be from {least} to {most}, and is {value}"));
            }
        }
        let [period, answer, seeds, forget, sure, release] =
            [times.period, answer, times.seeds, times.forget, times.sure, times.release]
                .map(Micros::from_millis);
        Ok(ViewTerms {
            fleet: file.fleet,
            listen: file.listen,
            address: file.address,
            networks: file.networks,
            seeds: file.seeds,
            seeds_file: file.seeds_file,
            via: file.via,
            portions: file.portions,
            times: Times { period, answer, seeds, forget, sure, release },
            bytes_per_s: file.bytes_per_s,
            most_members: file.most_members,
        })
    }

    /// Whether an address may be heard and sent to.
    pub fn near(&self, at: SocketAddr) -> bool {
        self.networks.iter().any(|network| network.has(at.ip()))
    }
}
