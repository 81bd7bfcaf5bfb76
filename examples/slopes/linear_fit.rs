//! Linear regression by least squares.

/// Points to fit a line to.
#[derive(Debug, Default)]
pub struct LinearFit {
    points: Vec<(f64, f64)>,
}

impl LinearFit {
    pub fn add(&mut self, x: f64, y: f64) {
        self.points.push((x, y));
    }

    /// Intercept and slope; `None` with fewer than two different sizes.
    fn coefficients(&self) -> Option<(f64, f64)> {
        let n = self.points.len() as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| {
            self.points.iter().map(coordinate).sum::<f64>() / n
        };
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let sum_xx: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = (sum_xx > 0.0).then(|| sum_xy / sum_xx)?;
        Some((mean_y - slope * mean_x, slope))
    }

    pub fn print(&self, quantity: &str) {
        if let Some((intercept, slope)) = self.coefficients() {
            println!("  line: {quantity} = {intercept:.3} + {slope:.5} x size");
        }
    }
}
