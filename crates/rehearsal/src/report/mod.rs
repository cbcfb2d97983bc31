//! A report of one play as a single HTML file, which needs no network to be viewed.

mod charts;

use crate::judge::result::PlayResult;
use crate::judge::Judges;
use crate::scenario::Scenario;

pub use charts::experiment as experiment_chart;

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;\
color:#1d2430}h1{font-size:1.5em;margin-bottom:0}h2{font-size:1.15em;margin:1.6em 0 .4em}table{border-collapse:\
collapse;width:100%}td,th{padding:.25em .6em;text-align:right;border-bottom:1px solid #d9dee6}td:first-child,\
th:first-child{text-align:left}.bad{color:#a3161c;font-weight:600}.good{color:#17603a;font-weight:600}\
.figure{font-size:2em;margin:.2em 0}.note{color:#5a6472}svg{width:100%;height:auto}";

/// The complete page.
pub fn html(scenario: &Scenario, result: &PlayResult, judges: &Judges) -> Result<String, String> {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{} - rehearsal</title>\
         <style>{STYLE}</style></head><body>\n<h1>{}</h1>\n<p class=\"note\">{} · {} on the {} clock · seed {} · \
         {} commands</p>\n",
        escape(&result.scenario),
        escape(&result.scenario),
        escape(&scenario.about),
        escape(&result.policy),
        result.clock,
        result.seed,
        result.commands
    );
    if let Some(why) = &result.void {
        page += &format!("<p class=\"bad\">The figures of this run are not valid: {}.</p>\n", escape(why));
    }
    page += &format!(
        "<p class=\"figure\">service {:.4}</p><p class=\"note\">payoff within the goal time divided by payoff asked for; \
         {:.4} in the worst five seconds. {:.1}% of the attempts were rejected, {:.2} launches and {:.2} \
         probes per command, {:.1}% of the work was wasted.</p>\n",
        result.service,
        result.worst_5s,
        100.0 * result.turned_back_share,
        result.launches_per_command,
        result.probes_per_command,
        100.0 * result.wasted_share
    );
    page += "<h2>Rules</h2>\n<table><tr><th>rule</th><th>broken</th></tr>\n";
    let violations = &result.rules;
    for (rule, count) in [
        ("one whole final answer in time, made for its command", violations.answers),
        ("no effect twice, and none of a rejected command", violations.effects),
        ("no launch to a draining or gone backend after the drain grace", violations.drains),
        ("a cold backend does not get so much work that it crashes", violations.pushes),
        ("nodes that ended without being asked to or did not stop", violations.crashes),
    ] {
        let (class, text) = if count == 0 { ("good", "kept".into()) } else { ("bad", count.to_string()) };
        page += &format!("<tr><td>{rule}</td><td class=\"{class}\">{text}</td></tr>\n");
    }
    page += "</table>\n";
    if !violations.cases.is_empty() {
        page += "<p>The first violations:</p><ul>\n";
        for case in &violations.cases {
            page += &format!("<li>{}</li>\n", escape(case));
        }
        page += "</ul>\n";
    }
    page += "<h2>Service over time</h2>\n";
    page += &charts::timeline(scenario, judges)?;
    if !scenario.troubles.is_empty() {
        page += "<p class=\"note\">Shaded: ";
        let troubles: Vec<String> = scenario
            .troubles
            .iter()
            .map(|t| {
                format!(
                    "{} from {:.1} to {:.1} s",
                    t.kind.label(),
                    t.at.micros() / 1e6,
                    t.end().micros() / 1e6
                )
            })
            .collect();
        page += &format!("{}.</p>\n", escape(&troubles.join("; ")));
    }
    page += "<h2>Latency</h2>\n";
    page += &charts::latency(scenario, judges)?;
    page += "<table><tr><th>profile</th><th>asked</th><th>in time</th><th>finished</th><th>turned back</th>\
             <th>errored</th><th>lost</th><th>timed out</th><th>left</th><th>p50 ms</th><th>p99 ms</th>\
             <th>p99.9 ms</th></tr>\n";
    for (name, p) in &result.latency {
        let l = &p.latency;
        page += &format!(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}\
             </td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td></tr>\n",
            escape(name),
            p.asked,
            p.in_time,
            p.finished,
            p.turned_back,
            p.errored,
            p.lost,
            p.timed_out,
            p.left,
            l.p50,
            l.p99,
            l.p999
        );
    }
    page += "</table>\n<h2>Launches by backend</h2>\n";
    page += &charts::backends(judges)?;
    page += "<p class=\"note\">One row per backend and one column per second; a darker cell means more launches.</p>\n";
    if !result.processes.is_empty() {
        page +=
            "<h2>Node processes</h2>\n<table><tr><th>node</th><th>CPU s</th><th>peak memory, MB</th></tr>\n";
        for p in &result.processes {
            page +=
                &format!("<tr><td>{}</td><td>{:.2}</td><td>{:.1}</td></tr>\n", p.node, p.cpu_s, p.memory_mb);
        }
        page += "</table>\n";
    }
    page += "</body></html>\n";
    Ok(page)
}
