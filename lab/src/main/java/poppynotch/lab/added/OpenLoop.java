package poppynotch.lab.added;

import java.util.concurrent.locks.LockSupport;

/** Sends calls by a schedule, whatever the outcome of those before. Stateless. */
final class OpenLoop {

    /** The clock by which calls are sent. */
    interface Pace {

        /** Now, on the schedule's clock. */
        long now();

        /** Waits until that time; returns at once where it is past. */
        void until(long nanos);

        /**
         * Real time: a thread's sleep ends some tens of microseconds late, a loop's up to a
         * millisecond.
         */
        Pace REAL =
                new Pace() {
                    @Override
                    public long now() {
                        return System.nanoTime();
                    }

                    @Override
                    public void until(long nanos) {
                        for (long left = nanos - now();
                                left > 0 && !Thread.currentThread().isInterrupted();
                                left = nanos - now()) {
                            LockSupport.parkNanos(left);
                        }
                    }
                };
    }

    /** Sends calls on their way, for example by a pool. */
    interface Line {
        /** Sends a call and returns at once. */
        void send(CallMix.Call call, long deadlineNanos, HttpPool.CompletionListener listener);
    }

    private OpenLoop() {}

    /**
     * Sends all calls of a schedule. A call that is sent late is not rescheduled: its time and its
     * deadline count from the schedule.
     *
     * @param timeoutNanos from the scheduled time of a call to its deadline
     * @return the recorder of their outcomes, which is done once all are complete
     */
    static Recorder play(Schedule schedule, CallMix mix, long timeoutNanos, Pace pace, Line line) {
        Recorder recorder = new Recorder(schedule);
        for (int i = 0; i < schedule.count() && !Thread.currentThread().isInterrupted(); i++) {
            int index = i;
            pace.until(schedule.at(i));
            line.send(
                    mix.next(),
                    schedule.at(i) + timeoutNanos,
                    (outcome, now) -> recorder.over(index, outcome, now));
        }
        return recorder;
    }
}
