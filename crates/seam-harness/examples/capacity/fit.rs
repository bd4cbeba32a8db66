//! Least-squares fit of a line through measured points.

/// A fitted line.
pub struct Line {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value at x = 0.
    pub intercept: f64,
    /// Coefficient of determination.
    pub r_squared: f64,
}

/// Returns the least-squares line through `points` of (x, y).
pub fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let yy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    let r_squared = if xx > 0.0 && yy > 0.0 {
        xy * xy / (xx * yy)
    } else {
        1.0
    };
    Line {
        slope,
        intercept: mean_y - slope * mean_x,
        r_squared,
    }
}

/// Prints a table of points and the line fitted through them.
pub fn print(title: &str, x: &str, y: &str, points: &[(f64, f64)]) {
    println!("### {title}\n");
    println!("| {x} | {y} |");
    println!("| --- | --- |");
    for (size, value) in points {
        println!("| {size} | {value:.2} |");
    }
    let line = line(points);
    println!(
        "\nslope {:.4}, intercept {:.2}, R² {:.3}\n",
        line.slope, line.intercept, line.r_squared
    );
}
