//! Sequential tests whose evidence may be checked after every observation (testing by betting). A bettor stakes a part of
//! its capital on the next observation being above the claimed mean. If the claim is true the capital has no expected
//! gain, and by Ville's inequality it reaches 1/a with a probability of at most a, however often it is checked (Ville
//! 1939; Waudby-Smith and Ramdas, "Estimating means of bounded random variables by betting", 2024; Howard and others
//! 2021).

/// The parts of the capital that are staked, each by a bettor of its own. The evidence is the mean of their capitals: it
/// is as safe as each of them and soon follows the best one. No stake is 1, because a lost bet must not end the test.
const STAKES: [f64; 6] = [0.05, 0.12, 0.25, 0.45, 0.7, 0.9];
/// Observations are clipped at this many standard deviations, which bounds them: one outlier weighs no more than a few
/// ordinary observations.
const MAX_DEVIATIONS: f64 = 3.0;

/// A test against the claim that the mean of the observations is `claim` or less.
#[derive(Clone, Debug)]
pub struct Bet {
    claim: f64,
    /// The logarithms of the bettors' capitals.
    log_capitals: [f64; STAKES.len()],
    pub observations: u32,
}

impl Bet {
    pub fn new(claim: f64) -> Bet {
        Bet { claim, log_capitals: [0.0; STAKES.len()], observations: 0 }
    }

    /// Adds an observation with the standard deviation that was expected of it beforehand. A wrong deviation costs power
    /// but no safety, because the scaled and clipped values are judged by their own mean.
    pub fn observe(&mut self, value: f64, deviation: f64) {
        let score = ((value - self.claim) / deviation.max(1e-9)).clamp(-MAX_DEVIATIONS, MAX_DEVIATIONS)
            / MAX_DEVIATIONS;
        for (capital, stake) in self.log_capitals.iter_mut().zip(STAKES) {
            *capital += (stake * score).ln_1p();
        }
        self.observations += 1;
    }

    /// The capital as a multiple of the initial one (an e-value).
    pub fn capital(&self) -> f64 {
        let sum: f64 = self.log_capitals.iter().map(|log| log.min(600.0).exp()).sum();
        sum / STAKES.len() as f64
    }

    /// Whether the claim is refuted at this probability of error.
    pub fn refuted(&self, error_probability: f64) -> bool {
        self.capital() >= 1.0 / error_probability
    }
}

/// The standard deviation of a difference between two rates, learned from earlier differences so that it includes what the
/// commands of one second have in common. It is taken around the mean of the differences, so that a lasting harm does not
/// inflate it.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// The weighted sum of squared deviations per command, and its weight in differences.
    squares: f64,
    weight: f64,
    mean: f64,
}

impl Spread {
    /// Starts from an initial variance that counts as much as `weight` differences.
    pub fn new(variance: f64, weight: f64) -> Spread {
        Spread { squares: variance * weight, weight, mean: 0.0 }
    }

    /// The expected deviation of the next difference; `inverse_counts` is the sum of 1/n over the two sides.
    pub fn expected(&self, inverse_counts: f64) -> f64 {
        (self.squares / self.weight * inverse_counts).sqrt()
    }

    /// Learns from a difference, after the bet on it.
    pub fn observe(&mut self, difference: f64, inverse_counts: f64) {
        let expected = self.squares / self.weight;
        let square = (difference - self.mean).powi(2) / inverse_counts.max(1e-12);
        // Clipped as in the bets, so that one outlier does not distort the deviation of all later seconds.
        self.squares += square.min(expected * MAX_DEVIATIONS * MAX_DEVIATIONS);
        self.weight += 1.0;
        self.mean += (difference - self.mean) / self.weight.min(20.0);
    }
}

/// The mean of the differences with a confidence band that is valid at all times simultaneously (Waudby-Smith, Arbour,
/// Sinha, Kennedy and Ramdas, "Time-uniform central limit theory and asymptotic confidence sequences", 2024). It is shown
/// in the report only; no decision depends on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfidenceBand {
    sum: f64,
    weight: f64,
    squares: f64,
    count: u32,
}

impl ConfidenceBand {
    /// Adds a difference; the weight is proportional to the inverse of its variance.
    pub fn observe(&mut self, value: f64, weight: f64) {
        let before = self.mean();
        (self.sum, self.weight, self.count) =
            (self.sum + value * weight, self.weight + weight, self.count + 1);
        self.squares += weight * (value - before) * (value - self.mean());
    }

    pub fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }

    /// Half the width of the band at this probability of error, or `None` while there are too few differences.
    pub fn half_width(&self, error_probability: f64) -> Option<f64> {
        if self.count < 10 {
            return None;
        }
        let (count, square) = (f64::from(self.count), 1.0 / 30.0);
        let deviation = (self.squares / self.weight).sqrt();
        let scale = (count * square + 1.0).sqrt();
        Some(
            deviation
                * (2.0 * (count * square + 1.0) / (count * count * square)
                    * (scale / error_probability).ln())
                .sqrt(),
        )
    }
}
