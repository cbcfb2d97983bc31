//! Means with confidence intervals.

/// A mean, and half the width of its 95% confidence interval; fewer than two values give no interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    pub mean: f64,
    pub half_width: Option<f64>,
    pub count: usize,
}

/// Quantile of Student's t distribution for a two-sided 95% interval. Above thirty degrees of freedom it is approximated
/// from the normal distribution.
fn t_quantile(degrees_of_freedom: usize) -> f64 {
    const TABLE: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    TABLE.get(degrees_of_freedom.saturating_sub(1)).copied().unwrap_or(1.96 + 2.5 / degrees_of_freedom as f64)
}

impl Mean {
    /// The mean of these values.
    pub fn of(values: &[f64]) -> Mean {
        let count = values.len();
        let mean = values.iter().sum::<f64>() / count.max(1) as f64;
        let half_width = (count > 1).then(|| {
            let squares: f64 = values.iter().map(|v| (v - mean) * (v - mean)).sum();
            t_quantile(count - 1) * (squares / (count - 1) as f64 / count as f64).sqrt()
        });
        Mean { mean, half_width, count }
    }

    /// Whether the interval contains zero. A single value has no interval and always counts as noise.
    pub fn is_noise(&self) -> bool {
        self.half_width.is_none_or(|half_width| self.mean.abs() <= half_width)
    }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.half_width {
            Some(half_width) => write!(f, "{:.4} ± {half_width:.4}", self.mean),
            None => write!(f, "{:.4}", self.mean),
        }
    }
}
