use std::{fmt, time::Duration};

use model::{HostId, work::StartOrder};

use crate::term::{CANCELLATIONS_MAX_AGE, REQUESTS_MAX_AGE, Term};

/// Why an order was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnsentCause {
    /// The channel to the target is closed: the target is gone or the term is over.
    ChannelClosed,
    /// Another process may own the cell.
    OwnershipUncertain,
    /// The stored cancellations were last read this long ago; `None` if never.
    CancellationsOutdated(Option<Duration>),
    /// The operators' requests were last read this long ago; `None` if never.
    RequestsOutdated(Option<Duration>),
    /// The target's data centre is drained.
    DataCentreDrained,
    /// The target's clock is not known.
    ClockUnknown,
    /// The advice service's ticket for it has expired.
    TicketExpired,
}

impl fmt::Display for UnsentCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ChannelClosed => formatter.write_str("its channel is closed"),
            Self::OwnershipUncertain => formatter.write_str("another process may be the owner"),
            Self::CancellationsOutdated(age) => write_age(formatter, "cancellations", *age),
            Self::RequestsOutdated(age) => write_age(formatter, "operators' requests", *age),
            Self::DataCentreDrained => formatter.write_str("its data centre is drained"),
            Self::ClockUnknown => formatter.write_str("the target's clock is not known"),
            Self::TicketExpired => formatter.write_str("its ticket has expired"),
        }
    }
}

fn write_age(formatter: &mut fmt::Formatter<'_>, what: &str, age: Option<Duration>) -> fmt::Result {
    match age {
        Some(age) => write!(formatter, "{what} were read {} ms ago", age.as_millis()),
        None => write!(formatter, "{what} were not read yet"),
    }
}

/// Checks that what callers cancelled and operators requested was read recently enough to start
/// work.
///
/// An owner that reads the store late, for example behind a narrow link, would otherwise start jobs
/// that their callers were told are cancelled, or tasks in a data centre that operators have
/// drained. While the store is unreachable for all processes, neither can be stored.
///
/// # Errors
/// What was read too long ago.
pub(crate) fn check_reads(term: &Term) -> Result<(), UnsentCause> {
    let is_current = |age: Option<Duration>, max_age| age.is_some_and(|age| age < max_age);
    let cancellations_age = term.cancellations_age();
    if !is_current(cancellations_age, CANCELLATIONS_MAX_AGE) {
        return Err(UnsentCause::CancellationsOutdated(cancellations_age));
    }
    let requests_age = term.requests_age();
    if !is_current(requests_age, REQUESTS_MAX_AGE) {
        return Err(UnsentCause::RequestsOutdated(requests_age));
    }
    Ok(())
}

/// Prepares a start for being sent now, and limits the time in which it may take effect. It may
/// have waited for its permit until after the lease expired or its data centre was drained.
///
/// # Errors
/// Why it must not be sent.
pub(crate) fn prepare_start(
    term: &Term,
    id: &HostId,
    order: &mut StartOrder,
) -> Result<(), UnsentCause> {
    if !term.may_start_tasks() {
        return Err(UnsentCause::OwnershipUncertain);
    }
    check_reads(term)?;
    let mut scheduler = term.scheduler.borrow_mut();
    if scheduler.is_data_centre_drained(id) {
        return Err(UnsentCause::DataCentreDrained);
    }
    if !scheduler.has_valid_ticket(id, &order.task, term.now()) {
        return Err(UnsentCause::TicketExpired);
    }
    // No pause between here and the write then lets the start begin beside orders of a successor.
    match scheduler.limit_start(id, order, term.start_limit(), term.now()) {
        true => Ok(()),
        false => Err(UnsentCause::ClockUnknown),
    }
}
