//! Draws a timeline as SVG: a horizontal lane per VM, events as dots from left to right in causal
//! order, and arrows between causally related events on different VMs.

use crate::event::{Event, EventRecord};
use crate::name::VmName;
use crate::operator::Timeline;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Maximum number of events drawn; older ones are omitted.
const MAX_DRAWN_EVENTS: usize = 1_000;
const LANE_HEIGHT_PX: usize = 120;
const EVENT_SPACING_PX: usize = 26;
const LEFT_MARGIN_PX: usize = 160;
const TOP_MARGIN_PX: usize = 110;

/// Coordinates x and y in pixels.
type Point = (usize, usize);

/// Renders a timeline as an SVG document.
pub fn render(timeline: &Timeline) -> String {
    let skipped = timeline.events.len().saturating_sub(MAX_DRAWN_EVENTS);
    let events = &timeline.events[skipped..];
    let vms: BTreeSet<&VmName> = events.iter().map(|record| &record.vm).collect();
    let lanes: BTreeMap<&VmName, usize> = vms.into_iter().zip(0..).collect();
    let points: Vec<Point> =
        events.iter().enumerate().map(|(i, r)| event_point(i, lanes[&r.vm])).collect();
    let width = LEFT_MARGIN_PX + EVENT_SPACING_PX * (events.len() + 4);
    let height =
        TOP_MARGIN_PX + LANE_HEIGHT_PX * lanes.len() + 20 * notes(timeline, skipped).len() + 20;
    let mut out = String::new();
    let mut add = |text: String| out.push_str(&text);
    add(format!(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{width}' height='{height}' font-family='sans-serif' font-size='11'>\n<defs><marker id='tip' markerWidth='8' markerHeight='8' refX='7' refY='4' orient='auto'><path d='M0,0 L8,4 L0,8 z'/></marker></defs>\n"
    ));
    for (vm, lane) in &lanes {
        let y = lane_y(*lane);
        add(format!("<text x='8' y='{}'>{}</text>\n", y + 4, escape_xml(vm.as_str())));
        add(format!(
            "<line x1='{LEFT_MARGIN_PX}' y1='{y}' x2='{width}' y2='{y}' stroke='#999'/>\n"
        ));
    }
    causal_pairs(events)
        .into_iter()
        .for_each(|(from, to)| add(render_arrow(points[from], points[to])));
    events.iter().zip(&points).for_each(|(record, point)| add(render_event(record, *point)));
    for (i, note) in notes(timeline, skipped).iter().enumerate() {
        let y = TOP_MARGIN_PX + LANE_HEIGHT_PX * lanes.len() + 20 * i;
        add(format!("<text x='8' y='{y}' fill='#a00'>{}</text>\n", escape_xml(note)));
    }
    out.push_str("</svg>\n");
    out
}

fn event_point(i: usize, lane: usize) -> Point {
    (LEFT_MARGIN_PX + EVENT_SPACING_PX * (i + 1), lane_y(lane))
}

fn lane_y(lane: usize) -> usize {
    TOP_MARGIN_PX + LANE_HEIGHT_PX * lane
}

/// Notes below the lanes on what the drawing does not show.
fn notes(timeline: &Timeline, skipped: usize) -> Vec<String> {
    let mut notes = Vec::new();
    notes.extend(timeline.missing.iter().map(|daemon| format!("not reached: {daemon}")));
    notes.extend(timeline.truncated.iter().map(|daemon| format!("older events omitted: {daemon}")));
    if skipped > 0 {
        notes.push(format!("{skipped} older events not drawn"));
    }
    notes
}

/// Pairs of events on different VMs, as indices into `events`: the first one caused the second.
fn causal_pairs(events: &[EventRecord]) -> Vec<(usize, usize)> {
    let mut accepted = BTreeMap::new();
    let mut claimed = BTreeMap::new();
    let mut pairs = Vec::new();
    for (i, record) in events.iter().enumerate() {
        let from = match &record.event {
            Event::TicketAccepted { revision, .. } => {
                accepted.insert(*revision, i);
                None
            }
            Event::ClaimCommitted { request, .. } => {
                claimed.insert(*request, i);
                None
            }
            Event::RevisionInstalled { revision } => accepted.get(revision),
            Event::TicketInForce { revision, .. } => accepted.get(revision),
            Event::ClaimRepeated { first, .. } => claimed.get(first),
            _ => None,
        };
        let on_other_vm = |from: &&usize| events[**from].vm != record.vm;
        pairs.extend(from.filter(on_other_vm).map(|from| (*from, i)));
    }
    pairs
}

fn render_arrow((x1, y1): Point, (x2, y2): Point) -> String {
    format!(
        "<line x1='{x1}' y1='{y1}' x2='{x2}' y2='{y2}' stroke='#06c' marker-end='url(#tip)'/>\n"
    )
}

fn render_event(record: &EventRecord, (x, y): Point) -> String {
    let mut out =
        format!("<circle cx='{x}' cy='{y}' r='4' fill='{}'>", event_colour(record.number));
    let title = escape_xml(&record.to_string());
    write!(out, "<title>{title}</title></circle>").expect("writing to a string cannot fail");
    let label = format!("{} {}", record.number, record.event.name());
    let (tx, ty) = (x + 3, y - 8);
    writeln!(
        out,
        "<text x='{tx}' y='{ty}' transform='rotate(-50 {tx} {ty})'>{}</text>",
        escape_xml(&label)
    )
    .expect("writing to a string cannot fail");
    out
}

/// Red for losses, refusals and failures, purple for cluster membership and leases, blue for
/// tickets, green for all others.
fn event_colour(number: u16) -> &'static str {
    match number {
        12 | 21 | 31 | 41 | 47 | 60 | 72 | 80.. => "#c22",
        10..=29 => "#52a",
        30..=39 => "#06c",
        _ => "#383",
    }
}

fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('\'', "&#39;")
}
