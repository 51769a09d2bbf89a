//! Self-contained HTML report of a run: its table and plots of service, queue and utilisation.

use std::error::Error;

use plotters::prelude::*;

use super::run::LoadRun;
use super::series::Sample;
use super::table::summary_table;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 360);
/// Space for the axis labels, in pixels.
const LABEL_AREA: u32 = 70;
/// Ratio of the top of the y axis to the highest value.
const HEADROOM: f64 = 1.05;

/// One line of a plot.
struct Line<'a> {
    name: &'a str,
    points: Vec<(f64, f64)>,
}

/// Renders the HTML report of a run.
///
/// # Errors
/// Returns the plotting library's error when a plot can't be drawn.
pub fn html_report(run: &LoadRun) -> Result<String, Box<dyn Error>> {
    let service: Vec<Line<'_>> = run
        .accounts
        .iter()
        .enumerate()
        .map(|(account, name)| Line {
            name,
            points: points(&run.samples, |s| s.service[account] as f64),
        })
        .collect();
    let waiting = Line {
        name: "waiting requests",
        points: points(&run.samples, |s| s.waiting as f64),
    };
    let utilisation = Line {
        name: "slots in use, %",
        points: points(&run.samples, |s| 100.0 * s.utilisation),
    };
    let plots = [
        plot("Service per account (service units)", &service)?,
        plot("Queue", &[waiting])?,
        plot("Utilisation", &[utilisation])?,
    ];
    let summary = &run.summary;
    let title = format!("{} under {}", summary.scenario, summary.policy);
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">\
         <title>{title}</title></head>\n<body>\n<h1>{title}</h1>\n<pre>{}</pre>\n{}\n</body>\n</html>\n",
        escape(&summary_table(summary)),
        plots.join("\n"),
    ))
}

fn points(samples: &[Sample], value: impl Fn(&Sample) -> f64) -> Vec<(f64, f64)> {
    let point = |s: &Sample| (s.elapsed.as_secs_f64(), value(s));
    samples.iter().map(point).collect()
}

fn max_value(lines: &[Line<'_>], value: impl Fn(&(f64, f64)) -> f64) -> f64 {
    let points = lines.iter().flat_map(|line| &line.points);
    points.map(value).fold(1.0, f64::max)
}

fn plot(title: &str, lines: &[Line<'_>]) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let x_max = max_value(lines, |(x, _)| *x);
    let y_max = max_value(lines, |(_, y)| *y) * HEADROOM;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &color))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .label_font(("sans-serif", 10))
        .background_style(WHITE.mix(0.7))
        .draw()?;
    area.present()?;
    drop(chart);
    drop(area);
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
