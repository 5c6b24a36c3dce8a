"""Steps for the stand-in store that comes back from older copies in series."""

from behave import given, then, when

from features.support.platform_store import Store

ROW = "servers", "e1"


class _Run:
    """A store with two copies of the row of an engine, which has changed since."""

    def __init__(self, states, is_dropped=False):
        self.store, self.copies = Store(), {}
        for state in states:
            self.store.put(*ROW, state.encode())
            self.copies[state] = self.store.copy()
        self.last = None
        if is_dropped:
            self.store.drop(*ROW)
        else:
            self.write("open")

    def write(self, state):
        self.last = state.encode()
        self.store.put(*ROW, self.last)

    def restore(self, state):
        return self.store.restore(self.copies[state])

    def rewrite(self, lost_rows):
        for row in lost_rows:
            self.store.rewrite_lost_row(*row)


@given(
    'a store whose row of an engine is copied as "{first}", then copied as "{second}", '
    "then changed again"
)
def step_store(context, first, second):
    context.states = first, second
    context.runs = []


@when(
    "it is restored to one copy, and to another before the lost rows of the first "
    "restore are written again"
)
def step_two_restores(context):
    for row in context.table:
        run = _Run(context.states, row["changed"] == "dropped")
        restores = [run.restore(row["first"]), run.restore(row["second"])]
        if row["written again first"] == "second restore":
            restores.reverse()
        for lost_rows in restores:
            run.rewrite(lost_rows)
        context.runs.append(run)


@when(
    'it is restored to the second copy, the engine writes "{state}", and the lost rows '
    "are written again"
)
def step_write_after_restore(context, state):
    run = _Run(context.states)
    lost_rows = run.restore(context.states[1])
    run.write(state)
    run.rewrite(lost_rows)
    context.runs.append(run)


@then("the row of the engine is as last written each time")
def step_as_last_written(context):
    rows = [(run.store.rows[ROW][0], run.last) for run in context.runs]
    assert all(row == last for row, last in rows), rows
