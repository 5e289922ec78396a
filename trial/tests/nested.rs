//! Control of runs whose nested calls are refused, in virtual time, on heavy days of two deployments.

use jackdaw_trial::load::nested::{Control, Load, Report, Row, simulate};
use strum::VariantArray;

const HEAVY: f64 = 1.8;
const SECONDS: u32 = 20;

/// Reports of both loads, without the control and with it.
fn reports() -> impl Iterator<Item = (Load, Report, Report)> {
    Load::VARIANTS.iter().map(|load| {
        let [off, product] = [Control::Off, Control::Product]
            .map(|control| simulate(*load, control, HEAVY, SECONDS, 1));
        (*load, off, product)
    })
}

fn sum(report: &Report, figure: impl Fn(&Row) -> u32) -> u32 {
    report.rows.iter().map(figure).sum()
}

/// Guards against runs that are started although their nested calls are refused, at the cost of what is
/// served, or by refusing a more urgent kind of a service more often than a less urgent one.
#[test]
fn fewer_runs_are_wasted() {
    for (load, off, product) in reports() {
        let [before, after] = [&off, &product].map(|report| sum(report, |row| row.wasted));
        assert!(2 * after < before, "{load}: {before} {after}");
        assert!(product.worth > off.worth, "{load}");
        if load == Load::StoreOrders {
            let share = |row: &Row| f64::from(row.refused) / f64::from(row.sent);
            assert!(share(&product.rows[0]) <= share(&product.rows[1]));
            // Bookings make no nested calls.
            assert!(product.rows[1].timely > off.rows[1].timely);
        }
    }
}

/// Guards against a control that wastes fewer runs and serves fewer callers.
#[test]
fn more_callers_are_served_in_time() {
    for (load, off, product) in reports() {
        let timely = |row: &Row| if row.is_nested { 0 } else { row.timely };
        let [before, after] = [&off, &product].map(|report| sum(report, timely));
        assert!(after >= before, "{load}: {before} {after}");
    }
}
