use super::*;

/// Guards a client whose bytes came in the turn in which its connection was asked to leave, in either order: what a close
/// would reset, or what is being served, stays; what rests is closed in order; what does not go on is cut.
#[test]
fn what_has_come_is_not_cut_and_what_does_not_go_on_is() {
    use Parting::{Cut, InOrder, Stays};
    let part = |stage, rests: bool, has_news: bool| parting(stage, || rests, || has_news);
    for rests in [false, true] {
        for has_news in [false, true] {
            assert_eq!(part(Stage::Request, rests, has_news), Stays);
            assert_eq!(part(Stage::Answer, rests, has_news), Cut);
            assert_eq!(part(Stage::Lingering, rests, has_news), Cut);
            assert_eq!(
                part(Stage::Idle, rests, has_news),
                if rests { InOrder } else { Stays }
            );
            for stage in [Stage::Silent, Stage::Head] {
                assert_eq!(
                    part(stage, rests, has_news),
                    if has_news { Stays } else { Cut },
                    "{stage:?}"
                );
            }
        }
    }
}
