//! Durations in scenario files: texts with units, such as `"200ms"` or `"1s 500ms"`, stored as whole microseconds.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;
use yarrowfront::times::Micros;

/// A duration in whole microseconds that is written with its unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    pub const fn millis(n: u64) -> Time {
        Time(n * 1000)
    }

    pub const fn seconds(n: u64) -> Time {
        Time(n * 1_000_000)
    }

    pub fn span(self) -> Micros {
        Micros(self.0)
    }

    /// Microseconds as a number for calculations.
    pub fn micros(self) -> f64 {
        self.0 as f64
    }

    /// Nanoseconds, the unit of the node's settings.
    pub fn nanos(self) -> u64 {
        self.0 * 1000
    }

    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        struct Text;
        impl de::Visitor<'_> for Text {
            type Value = Time;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("a duration with its unit, such as \"200ms\" or \"5s\"")
            }
            fn visit_str<E: de::Error>(self, text: &str) -> Result<Time, E> {
                let time = humantime::parse_duration(text);
                let time = time.map_err(|e| E::custom(format!("{text:?} is not a duration: {e}")))?;
                u64::try_from(time.as_micros()).map(Time).map_err(|_| E::custom("the duration is too long"))
            }
        }
        from.deserialize_str(Text)
    }
}

impl Serialize for Time {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&humantime::format_duration(self.duration()))
    }
}
