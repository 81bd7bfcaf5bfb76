//! Draws a time line as SVG: one lane a VM, events as marks in causal order, messages as arrows.

use crate::event::{Event, EventRecord};
use crate::name::VmName;
use crate::operator::Timeline;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Events drawn at most; the newest are.
const EVENTS: usize = 1_000;
const LANE_HEIGHT: usize = 120;
const STEP_WIDTH: usize = 26;
const LEFT: usize = 160;
const TOP: usize = 110;

/// A mark's place in pixels.
type Place = (usize, usize);

/// Draws a time line.
pub fn draw(timeline: &Timeline) -> String {
    let skipped = timeline.events.len().saturating_sub(EVENTS);
    let events = &timeline.events[skipped..];
    let vms: BTreeSet<&VmName> = events.iter().map(|record| &record.vm).collect();
    let lanes: BTreeMap<&VmName, usize> = vms.into_iter().zip(0..).collect();
    let places: Vec<Place> =
        events.iter().enumerate().map(|(i, r)| place(i, lanes[&r.vm])).collect();
    let width = LEFT + STEP_WIDTH * (events.len() + 4);
    let height = TOP + LANE_HEIGHT * lanes.len() + 20 * notes(timeline, skipped).len() + 20;
    let mut out = String::new();
    let mut add = |text: String| out.push_str(&text);
    add(format!(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{width}' height='{height}' font-family='sans-serif' font-size='11'>\n<defs><marker id='tip' markerWidth='8' markerHeight='8' refX='7' refY='4' orient='auto'><path d='M0,0 L8,4 L0,8 z'/></marker></defs>\n"
    ));
    for (vm, lane) in &lanes {
        let y = lane_y(*lane);
        add(format!("<text x='8' y='{}'>{}</text>\n", y + 4, escape(vm.as_str())));
        add(format!("<line x1='{LEFT}' y1='{y}' x2='{width}' y2='{y}' stroke='#999'/>\n"));
    }
    arrows(events).into_iter().for_each(|(from, to)| add(arrow(places[from], places[to])));
    events.iter().zip(&places).for_each(|(record, place)| add(mark(record, *place)));
    for (i, note) in notes(timeline, skipped).iter().enumerate() {
        let y = TOP + LANE_HEIGHT * lanes.len() + 20 * i;
        add(format!("<text x='8' y='{y}' fill='#a00'>{}</text>\n", escape(note)));
    }
    out.push_str("</svg>\n");
    out
}

fn place(i: usize, lane: usize) -> Place {
    (LEFT + STEP_WIDTH * (i + 1), lane_y(lane))
}

fn lane_y(lane: usize) -> usize {
    TOP + LANE_HEIGHT * lane
}

fn notes(timeline: &Timeline, skipped: usize) -> Vec<String> {
    let mut notes = Vec::new();
    notes.extend(timeline.missing.iter().map(|daemon| format!("not reached: {daemon}")));
    notes
        .extend(timeline.truncated.iter().map(|daemon| format!("older events left out: {daemon}")));
    if skipped > 0 {
        notes.push(format!("{skipped} older events are not drawn"));
    }
    notes
}

/// Pairs of events, as places in the list, of which the first sent what brought the second about.
fn arrows(events: &[EventRecord]) -> Vec<(usize, usize)> {
    let mut accepted = BTreeMap::new();
    let mut claimed = BTreeMap::new();
    let mut found = Vec::new();
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
        let other_lane = |from: &&usize| events[**from].vm != record.vm;
        found.extend(from.filter(other_lane).map(|from| (*from, i)));
    }
    found
}

fn arrow((x1, y1): Place, (x2, y2): Place) -> String {
    format!(
        "<line x1='{x1}' y1='{y1}' x2='{x2}' y2='{y2}' stroke='#06c' marker-end='url(#tip)'/>\n"
    )
}

fn mark(record: &EventRecord, (x, y): Place) -> String {
    let mut out = format!("<circle cx='{x}' cy='{y}' r='4' fill='{}'>", colour(record.number));
    let title = escape(&record.to_string());
    write!(out, "<title>{title}</title></circle>").expect("writing to a string cannot fail");
    let label = format!("{} {}", record.number, record.event.name());
    let (tx, ty) = (x + 3, y - 8);
    writeln!(
        out,
        "<text x='{tx}' y='{ty}' transform='rotate(-50 {tx} {ty})'>{}</text>",
        escape(&label)
    )
    .expect("writing to a string cannot fail");
    out
}

fn colour(number: u16) -> &'static str {
    match number {
        12 | 21 | 31 | 41 | 47 | 60 | 72 | 80.. => "#c22",
        10..=29 => "#52a",
        30..=39 => "#06c",
        _ => "#383",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('\'', "&#39;")
}
