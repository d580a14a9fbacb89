from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_admission.begun_programs import (
    MAX_TOLD,
    BegunPrograms,
    StartLog,
    program_number,
)


def exchange(programs, log):
    """Tell an owner of new programs, and take what it tells."""
    told = programs.to_tell()
    found = log.since(programs.position)
    log.add(told)
    programs.on_told(len(told), found, log.next)
    return found


def test_programs_that_began_at_one_gateway_are_known_at_others():
    """Guards against a sub-agent's first turn that another gateway takes for a new program."""
    log, first, second = StartLog(), BegunPrograms(100), BegunPrograms(100)
    first.begin(1)
    first.begin(1)
    exchange(first, log)
    found = exchange(second, log)
    assert_that((found, 1 in second, 2 in second), Equals(((1,), True, False)))
    assert_that((exchange(second, log), first.to_tell()), Equals(((), ())))


def test_messages_and_memory_are_bounded():
    log, first, second = StartLog(), BegunPrograms(300), BegunPrograms(300)
    for number in range(5_000):
        first.begin(number)
    assert_that((len(first.to_tell()), len(first.known)), Equals((MAX_TOLD, 300)))
    for _ in range(20):
        exchange(first, log)
    assert_that((len(exchange(second, log)), len(log.programs)), Equals((MAX_TOLD, 2_000)))


def test_new_owner_tells_from_its_beginning():
    """Guards against a position of one owner that hides what another one knows."""
    programs, log = BegunPrograms(100), StartLog()
    programs.on_told(0, (), 500)
    programs.on_new_owner()
    log.add([7])
    assert_that(exchange(programs, log), Equals((7,)))


def test_customers_may_use_the_same_program_id():
    assert_that(program_number("a", "p") == program_number("b", "p"), Equals(False))
