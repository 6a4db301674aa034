//! Guards against hosts that cannot hear each other and share no evidence, against blocks that are lost
//! when all hosts start again, and against calls of the store that nobody needs.

use bv_blame::{ExchangeStep, ExchangeView, StoreExchange};
use bv_types::Millis;

fn after_read() -> StoreExchange {
    let mut exchange = StoreExchange::default();
    exchange.record_read(Millis(1_000));
    exchange
}

#[test]
fn first_step_reads() {
    let exchange = StoreExchange::default();
    let step = exchange.step(Millis(0), ExchangeView::default());
    assert_eq!(step, ExchangeStep::Read);
}

#[test]
fn no_calls_in_calm() {
    let exchange = after_read();
    let crash_seen = ExchangeView {
        last_loss_at: Some(Millis(1_500)),
        own_crashes: 1,
        ..ExchangeView::default()
    };
    let host_gone = ExchangeView {
        missing_peers: 2,
        ..ExchangeView::default()
    };
    for view in [ExchangeView::default(), crash_seen, host_gone] {
        for at in [1_001, 2_000, 100_000] {
            assert_eq!(
                exchange.step(Millis(at), view),
                ExchangeStep::Wait,
                "{view:?}"
            );
        }
    }
}

#[test]
fn block_is_written_once() {
    let mut exchange = after_read();
    let view = ExchangeView {
        own_crashes: 3,
        has_suspects: true,
        ..ExchangeView::default()
    };
    assert_eq!(exchange.step(Millis(2_000), view), ExchangeStep::Write);
    exchange.record_write(Millis(2_000), 3);
    assert_eq!(exchange.step(Millis(9_000), view), ExchangeStep::Wait);
}

#[test]
fn cut_hosts_exchange_crashes() {
    let mut exchange = after_read();
    let view = ExchangeView {
        missing_peers: 1,
        last_loss_at: Some(Millis(2_000)),
        own_crashes: 1,
        has_suspects: false,
    };
    assert_eq!(exchange.step(Millis(2_010), view), ExchangeStep::Write);
    exchange.record_write(Millis(2_010), 1);
    assert_eq!(exchange.step(Millis(2_020), view), ExchangeStep::Read);
    exchange.record_read(Millis(2_020));
    assert_eq!(exchange.step(Millis(2_900), view), ExchangeStep::Wait);
    assert_eq!(exchange.step(Millis(3_020), view), ExchangeStep::Read);
    assert_eq!(exchange.step(Millis(40_000), view), ExchangeStep::Wait);
}

#[test]
fn failures_pause() {
    let mut exchange = StoreExchange::default();
    exchange.record_failure(Millis(100));
    let view = ExchangeView::default();
    assert_eq!(exchange.step(Millis(2_000), view), ExchangeStep::Wait);
    assert_eq!(exchange.step(Millis(2_100), view), ExchangeStep::Read);
}

/// Guards against evidence that a restored store lacks while hosts start again.
#[test]
fn lost_row_is_written_again() {
    let mut exchange = after_read();
    let view = ExchangeView {
        own_crashes: 3,
        has_suspects: true,
        ..ExchangeView::default()
    };
    exchange.record_write(Millis(2_000), 3);
    exchange.record_restoration();
    assert_eq!(exchange.step(Millis(9_000), view), ExchangeStep::Write);
    // Nobody needs the row without a suspect.
    let calm = ExchangeView {
        has_suspects: false,
        ..view
    };
    assert_eq!(exchange.step(Millis(9_000), calm), ExchangeStep::Wait);
}
