//! Tests of parsing the line protocol.

use super::*;

#[test]
fn lines_are_read_whole_however_the_input_is_split() {
    let text = b"fetch a1 cls=result,item=0f,chunk=2,limit=9,from=s-2,rank=1,oldest=5,mode=share+peek 3\r\nx\r\n\r\nabort a1\r\nstats p1\r\n";
    for step in [1, 7, text.len()] {
        let (mut input, mut got) = (Vec::new(), Vec::new());
        for piece in text.chunks(step) {
            input.extend_from_slice(piece);
            got.extend(take_lines(&mut input).expect("the lines are valid"));
        }
        let wanted = FetchRequest {
            id: "a1".into(),
            class: "result".into(),
            item: Item { object: "0f".into(), part: 2 },
            source: Some("s-2".into()),
            max_age: Span::from_millis(5),
            rank: 1,
            only_if_cached: true,
        };
        let wanted =
            [HostLine::Fetch(wanted), HostLine::Cancel("a1".into()), HostLine::HealthCheck("p1".into())];
        assert_eq!(got, wanted, "{step}");
    }
    assert!(take_lines(&mut b"give me\r\n".to_vec()).is_err());
    assert!(take_lines(&mut b"fetch a cls=b 1\r\nxyz".to_vec()).is_err());
}
