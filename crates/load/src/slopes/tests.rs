use super::{Line, Point, probes};

#[test]
fn a_line_through_scattered_points_says_how_well_it_fits() {
    let points = [(1.0, 2.0), (2.0, 4.5), (3.0, 5.5), (4.0, 8.0)];
    let points = points.map(|(size, value)| Point { size, value });
    let line = Line::fit(&points);
    assert!((line.slope - 1.9).abs() < 1e-9);
    assert!((line.at(0.0) - 0.25).abs() < 1e-9);
    assert!(line.r_squared > 0.9 && line.r_squared < 1.0);
}

#[test]
fn sizes_on_the_wire_grow_in_a_line() {
    let wire = probes()
        .into_iter()
        .filter(|probe| probe.name.contains("wire"));
    for probe in wire {
        let slope = probe.run();
        assert!(slope.line.slope > 0.0, "{slope:?}");
        assert!(slope.line.r_squared > 0.99, "{slope:?}");
    }
}

#[test]
fn probe_names_are_unique() {
    let mut names: Vec<&str> = probes().iter().map(|probe| probe.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), probes().len());
}

#[test]
fn probing_traffic_does_not_grow_with_the_zone() {
    let traffic = probes()
        .into_iter()
        .find(|probe| probe.name == "membership.traffic_second")
        .expect("the traffic of membership is measured");
    let slope = traffic.run();
    assert!(slope.line.slope.abs() < 0.1, "{slope:?}");
    assert!(slope.line.intercept > 0.0, "{slope:?}");
}

#[test]
fn every_slope_of_the_capacity_page_is_measured() {
    let page = include_str!("../../../../docs/CAPACITY.md");
    let names: Vec<&str> = probes().iter().map(|probe| probe.name).collect();
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let named: Vec<&str> = rows
        .flat_map(|row| row.split('`').skip(1).step_by(2))
        .collect();
    assert!(!named.is_empty());
    for name in named {
        assert!(names.contains(&name), "{name} is not measured");
    }
}
