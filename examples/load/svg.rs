use crate::latency_report::LatencyReport;
use std::fmt::Write;

const WIDTH_PX: f64 = 640.0;
const HEIGHT_PX: f64 = 300.0;
const MARGIN_PX: f64 = 40.0;
const COLOURS: [&str; 3] = ["#1b6ca8", "#c8553d", "#3a7d44"];
/// End of the percentile axis, as a number of nines: 0 is p0, 1 is p90, 3 is p99.9.
const MAX_NINES: f64 = 3.5;

/// Renders the latency of first tokens as an SVG with two diagrams: over percentiles and, below it,
/// over time.
pub fn render(reports: &[LatencyReport]) -> String {
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH_PX}\" height=\"{}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n",
        HEIGHT_PX * 2.0
    );
    let max_us =
        reports.iter().map(|report| report.first_token.max()).max().unwrap_or(1).max(1) as f64;
    let last = reports.iter().flat_map(|report| report.samples.last()).map(|point| point.0);
    let seconds = last.fold(1.0, f64::max);
    for (report, colour) in reports.iter().zip(COLOURS) {
        let over_percentiles = |n: u32| {
            let nines = f64::from(n) / 50.0 * MAX_NINES;
            let percentile = 100.0 * (1.0 - 10_f64.powf(-nines));
            let value = report.first_token.value_at_percentile(percentile);
            (nines / MAX_NINES, value as f64 / max_us)
        };
        push_polyline(&mut svg, (0..=50).map(over_percentiles), 0.0, colour);
        for (second, micros) in &report.samples {
            let (x, y) = to_pixels(second / seconds, *micros as f64 / max_us, HEIGHT_PX);
            let _ =
                writeln!(svg, "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"1\" fill=\"{colour}\"/>");
        }
    }
    push_legend(&mut svg, reports, max_us, seconds);
    svg.push_str("</svg>\n");
    svg
}

fn push_polyline<I>(svg: &mut String, points: I, offset: f64, colour: &str)
where
    I: Iterator<Item = (f64, f64)>,
{
    let format_point = |(x, y)| {
        let (x, y) = to_pixels(x, y, offset);
        format!("{x:.1},{y:.1} ")
    };
    let path: String = points.map(format_point).collect();
    let _ = writeln!(svg, "<polyline points=\"{path}\" fill=\"none\" stroke=\"{colour}\"/>");
}

/// Pixel coordinates of a point whose coordinates are from 0 to 1, in the diagram at `offset`.
fn to_pixels(x: f64, y: f64, offset: f64) -> (f64, f64) {
    let x_px = MARGIN_PX + x * (WIDTH_PX - 2.0 * MARGIN_PX);
    (x_px, offset + HEIGHT_PX - MARGIN_PX - y * (HEIGHT_PX - 2.0 * MARGIN_PX))
}

fn push_legend(svg: &mut String, reports: &[LatencyReport], max_us: f64, seconds: f64) {
    let mut text = |x: f64, y: f64, colour: &str, text: String| {
        let _ = writeln!(svg, "<text x=\"{x}\" y=\"{y}\" fill=\"{colour}\">{text}</text>");
    };
    let captions = ["p0, p90, p99, p99.9 from left to right".to_owned(), format!("{seconds:.0} s")];
    for (n, caption) in captions.into_iter().enumerate() {
        let offset = HEIGHT_PX * n as f64;
        text(MARGIN_PX, offset + HEIGHT_PX - 12.0, "black", caption);
        text(MARGIN_PX, offset + 15.0, "black", format!("first token, up to {max_us:.0} us"));
    }
    for (n, (report, colour)) in reports.iter().zip(COLOURS).enumerate() {
        text(WIDTH_PX - 120.0, 15.0 + 14.0 * n as f64, colour, report.name.to_owned());
    }
}
