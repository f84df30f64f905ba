//! Tests of `hosts`.

use super::*;

#[test]
fn lines_come_whole_whatever_the_pieces() {
    let text = b"fetch a1 cls=result,item=0f,chunk=2,limit=9,from=s-2,rank=1,oldest=5,mode=share+peek 3\r\nx\r\n\r\nabort a1\r\nstats p1\r\n";
    for step in [1, 7, text.len()] {
        let (mut input, mut got) = (Vec::new(), Vec::new());
        for piece in text.chunks(step) {
            input.extend_from_slice(piece);
            got.extend(lines(&mut input).expect("lines"));
        }
        let wanted = Fetch {
            id: "a1".into(),
            class: "result".into(),
            item: ("0f".into(), 2),
            from: Some("s-2".into()),
            oldest: 5000,
            rank: 1,
            peek: true,
        };
        assert_eq!(got, [Line::Fetch(wanted), Line::Abort("a1".into()), Line::Probe("p1".into())], "{step}");
    }
    assert!(lines(&mut b"give me\r\n".to_vec()).is_err());
    assert!(lines(&mut b"fetch a cls=b 1\r\nxyz".to_vec()).is_err());
}
