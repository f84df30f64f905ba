//! Tests of the reorder window: order, lost rows, and the counts of reordered and moved rows.

use super::*;

/// Returns the released times, the numbers of reordered and of moved rows, and the largest move. All in microseconds.
fn reorder(span: i64, max_held: usize, times: &[i64]) -> (Vec<i64>, [u64; 2], i64) {
    let mut window = ReorderWindow::new(Span::from_micros(span), max_held);
    let mut out = Vec::new();
    for at in times {
        window.push(Instant::from_micros(*at), *at);
        out.extend(std::iter::from_fn(|| window.pop_ready()).map(|(at, _)| at.as_micros()));
    }
    out.extend(std::iter::from_fn(|| window.pop()).map(|(at, _)| at.as_micros()));
    (out, [window.reordered, window.moved], window.max_moved.as_micros())
}

#[test]
fn rows_come_in_order_and_none_is_lost() {
    assert_eq!(reorder(10, 99, &[5, 3, 4, 20, 18, 40]), (vec![3, 4, 5, 18, 20, 40], [3, 0], 0));
    // 3 comes after 20 has been released, so it is moved to 20 and counted.
    assert_eq!(reorder(10, 99, &[5, 20, 40, 3]), (vec![5, 20, 20, 40], [0, 1], 17));
    assert_eq!(reorder(0, 99, &[2, 1, 3]), (vec![2, 2, 3], [0, 1], 1));
    // A full window releases rows before their span is over.
    assert_eq!(reorder(1000, 2, &[5, 6, 7, 1]), (vec![5, 5, 6, 7], [0, 1], 4));
}

#[test]
fn randomly_ordered_rows_come_out_sorted_and_complete() {
    for seed in 0..200_u64 {
        let mut state = seed;
        let mut draw = |n: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % n
        };
        let times: Vec<i64> = (0..200).map(|n| n * 3 + draw(50) as i64).collect();
        let (out, [reordered, moved], max_moved) = reorder(draw(60) as i64, 1 + draw(40) as usize, &times);
        assert_eq!(out.len(), times.len());
        assert!(out.windows(2).all(|pair| pair[0] <= pair[1]), "seed {seed}");
        let descents = times.windows(2).filter(|pair| pair[1] < pair[0]).count() as u64;
        assert!(reordered + moved >= descents && (moved == 0) == (max_moved == 0), "seed {seed}");
    }
}
