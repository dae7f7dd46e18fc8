package poppynotch.lab.added;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The open loop, on a clock of the test's own. */
class OpenLoopTest {

    private static final long MS = 1_000_000;
    private static final long PATIENCE = 5000 * MS;

    /** Time that moves only when it is waited for, or when a test moves it. */
    private static final class Clock implements OpenLoop.Pace {
        private long now;

        @Override
        public long now() {
            return now;
        }

        @Override
        public void until(long nanos) {
            now = Math.max(now, nanos);
        }
    }

    private final Clock clock = new Clock();

    /** A server that takes calls in turn, 1 ms each, and stands still from 1 s to 2 s. */
    private final class Stalling implements OpenLoop.Line {
        private long freeAt;

        @Override
        public void send(CallMix.Call call, long deadlineNanos, HttpPool.CompletionListener ended) {
            long from = Math.max(clock.now, freeAt);
            freeAt = (from >= 1000 * MS && from < 2000 * MS ? 2000 * MS : from) + MS;
            ended.onComplete(HttpPool.Outcome.SERVED, freeAt);
        }
    }

    @Test
    void chargesServerStallToAllCallsScheduledDuringIt() {
        Schedule schedule = new Schedule(0, 100, 300);
        Recorder recorder =
                OpenLoop.play(schedule, new CallMix(1), PATIENCE, clock, new Stalling());
        assertTrue(recorder.done().isDone());
        assertEquals(300, recorder.served());
        // A hundred calls were planned in the second that stood still: each waited for what was
        // left of it.
        for (int i = 100; i < 200; i++) {
            assertEquals((2000 - 10L * i) * MS + (i - 99) * MS, recorder.endOf(i) - schedule.at(i));
        }
        // 1,901 - 9 i ms is half a second or more up to the call of 1.55 s.
        assertEquals(56, recorder.times().getCountBetweenValues(500 * MS, 2000 * MS));
        assertEquals(1, recorder.quantileMs(0.5), 0.01);
        assertTrue(recorder.quantileMs(0.99) > 950, () -> "" + recorder.quantileMs(0.99));
    }

    @Test
    void chargesCallerStallToCallsItCouldNotSend() {
        Schedule schedule = new Schedule(0, 100, 300);
        List<Long> sentAt = new ArrayList<>();
        Recorder recorder =
                OpenLoop.play(
                        schedule,
                        new CallMix(1),
                        PATIENCE,
                        clock,
                        (call, deadline, ended) -> {
                            sentAt.add(clock.now);
                            ended.onComplete(HttpPool.Outcome.SERVED, clock.now + MS);
                            if (sentAt.size() == 100) {
                                clock.now += 1000 * MS;
                            }
                        });
        assertEquals(990 * MS, sentAt.get(99));
        assertEquals(1990 * MS, sentAt.get(100));
        assertEquals(991 * MS, recorder.endOf(100) - schedule.at(100));
        assertEquals(
                100.0, (double) recorder.times().getCountBetweenValues(2 * MS, 2000 * MS), 1.0);
    }

    @Test
    void countsDeadlineFromScheduledTime() {
        List<Long> deadlines = new ArrayList<>();
        clock.now = 700 * MS;
        OpenLoop.play(
                new Schedule(0, 10, 2),
                new CallMix(1),
                PATIENCE,
                clock,
                (call, deadline, ended) -> deadlines.add(deadline));
        assertEquals(List.of(PATIENCE, PATIENCE + 100 * MS), deadlines);
    }

    @Test
    void countsUnservedCallsWithoutTime() {
        HttpPool.Outcome[] ends = {
            HttpPool.Outcome.SERVED, HttpPool.Outcome.REFUSED, HttpPool.Outcome.FAILED
        };
        int[] next = new int[1];
        Recorder recorder =
                OpenLoop.play(
                        new Schedule(0, 10, 3),
                        new CallMix(1),
                        PATIENCE,
                        clock,
                        (call, deadline, ended) ->
                                ended.onComplete(ends[next[0]++], clock.now + MS));
        assertTrue(recorder.done().isDone());
        assertEquals(
                List.of(1L, 1L, 1L),
                List.of(recorder.served(), (long) recorder.refused(), (long) recorder.failed()));
        assertEquals(0, recorder.endOf(2));
    }

    @Test
    void isNotDoneWhileCallIsPending() {
        assertFalse(
                OpenLoop.play(
                                new Schedule(0, 10, 3),
                                new CallMix(1),
                                PATIENCE,
                                clock,
                                (call, deadline, ended) -> {})
                        .done()
                        .isDone());
    }

    @Test
    void sendsSameCallsBothWaysWithDistinctIds() {
        CallMix one = new CallMix(7);
        CallMix other = new CallMix(7);
        int reads = 0;
        for (int i = 0; i < 1000; i++) {
            CallMix.Call first = one.next();
            CallMix.Call second = other.next();
            assertEquals(first.key(), second.key());
            assertFalse(first.id().equals(second.id()));
            reads += first.key() == null ? 1 : 0;
        }
        assertTrue(reads > 600 && reads < 800, "" + reads);
    }

    @Test
    void rejectsScheduleWithoutRate() {
        assertThrows(IllegalArgumentException.class, () -> new Schedule(0, 0, 1));
        assertThrows(IllegalArgumentException.class, () -> new Schedule(0, Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> new Schedule(0, 1, 0));
    }
}
