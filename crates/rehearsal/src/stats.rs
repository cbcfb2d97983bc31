//! Means with their intervals, and differences beside their noise.

/// A mean, and half of its 95% interval; no interval from fewer than two values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    pub mean: f64,
    pub half: Option<f64>,
    pub count: usize,
}

/// Student's quantile for a two-sided 95% interval, by degrees of freedom; past thirty the normal one is near.
fn student(freedom: usize) -> f64 {
    const TABLE: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    TABLE.get(freedom.saturating_sub(1)).copied().unwrap_or(1.96 + 2.5 / freedom as f64)
}

impl Mean {
    pub fn of(values: &[f64]) -> Mean {
        let count = values.len();
        let mean = values.iter().sum::<f64>() / count.max(1) as f64;
        let half = (count > 1).then(|| {
            let square: f64 = values.iter().map(|v| (v - mean) * (v - mean)).sum();
            student(count - 1) * (square / (count - 1) as f64 / count as f64).sqrt()
        });
        Mean { mean, half, count }
    }

    /// Whether nothing lies outside the interval; a single value tells nothing.
    pub fn is_noise(&self) -> bool {
        self.half.is_none_or(|half| self.mean.abs() <= half)
    }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.half {
            Some(half) => write!(f, "{:.4} ± {half:.4}", self.mean),
            None => write!(f, "{:.4}", self.mean),
        }
    }
}
