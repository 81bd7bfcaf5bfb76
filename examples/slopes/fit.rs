//! Least-squares lines.

/// Points and the line through them.
#[derive(Debug, Default)]
pub struct Fit {
    points: Vec<(f64, f64)>,
}

impl Fit {
    pub fn add(&mut self, x: f64, y: f64) {
        self.points.push((x, y));
    }

    /// Intercept and slope; `None` for fewer than two sizes.
    fn line(&self) -> Option<(f64, f64)> {
        let n = self.points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| self.points.iter().map(part).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = self.points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
        let joint: f64 = self.points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
        let slope = (spread > 0.0).then(|| joint / spread)?;
        Some((my - slope * mx, slope))
    }

    pub fn print(&self, what: &str) {
        if let Some((base, slope)) = self.line() {
            println!("  line: {what} = {base:.3} + {slope:.5} x size");
        }
    }
}
