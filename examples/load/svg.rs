use crate::report::Report;
use std::fmt::Write;

const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 300.0;
const MARGIN: f64 = 40.0;
const COLOURS: [&str; 3] = ["#1b6ca8", "#c8553d", "#3a7d44"];
/// The percentiles drawn, as nines: 0 is p0, 1 is p90, 3 is p99.9.
const NINES: f64 = 3.5;

/// Draws first-token latency over percentiles, and below it over time.
pub fn draw(reports: &[Report]) -> String {
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n",
        HEIGHT * 2.0
    );
    let top = reports.iter().map(|report| report.first.max()).max().unwrap_or(1).max(1) as f64;
    let last = reports.iter().flat_map(|report| report.points.last()).map(|point| point.0);
    let seconds = last.fold(1.0, f64::max);
    for (report, colour) in reports.iter().zip(COLOURS) {
        let over_percentiles = |n: u32| {
            let nines = f64::from(n) / 50.0 * NINES;
            let percentile = 100.0 * (1.0 - 10_f64.powf(-nines));
            let value = report.first.value_at_percentile(percentile);
            (nines / NINES, value as f64 / top)
        };
        line(&mut svg, (0..=50).map(over_percentiles), 0.0, colour);
        for (second, micros) in &report.points {
            let (x, y) = place(second / seconds, *micros as f64 / top, HEIGHT);
            let _ =
                writeln!(svg, "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"1\" fill=\"{colour}\"/>");
        }
    }
    legend(&mut svg, reports, top, seconds);
    svg.push_str("</svg>\n");
    svg
}

fn line<I>(svg: &mut String, points: I, offset: f64, colour: &str)
where
    I: Iterator<Item = (f64, f64)>,
{
    let show = |(x, y)| {
        let (x, y) = place(x, y, offset);
        format!("{x:.1},{y:.1} ")
    };
    let path: String = points.map(show).collect();
    let _ = writeln!(svg, "<polyline points=\"{path}\" fill=\"none\" stroke=\"{colour}\"/>");
}

fn place(x: f64, y: f64, offset: f64) -> (f64, f64) {
    let across = MARGIN + x * (WIDTH - 2.0 * MARGIN);
    (across, offset + HEIGHT - MARGIN - y * (HEIGHT - 2.0 * MARGIN))
}

fn legend(svg: &mut String, reports: &[Report], top: f64, seconds: f64) {
    let mut text = |x: f64, y: f64, colour: &str, text: String| {
        let _ = writeln!(svg, "<text x=\"{x}\" y=\"{y}\" fill=\"{colour}\">{text}</text>");
    };
    let captions = ["p0, p90, p99, p99.9 from left to right".to_owned(), format!("{seconds:.0} s")];
    for (n, caption) in captions.into_iter().enumerate() {
        let offset = HEIGHT * n as f64;
        text(MARGIN, offset + HEIGHT - 12.0, "black", caption);
        text(MARGIN, offset + 15.0, "black", format!("first token, up to {top:.0} us"));
    }
    for (n, (report, colour)) in reports.iter().zip(COLOURS).enumerate() {
        text(WIDTH - 120.0, 15.0 + 14.0 * n as f64, colour, report.name.to_owned());
    }
}
