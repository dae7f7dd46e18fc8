package poppynotch.lab.added;

import java.util.concurrent.locks.LockSupport;

/** Sends calls by a schedule, whatever becomes of those before. */
final class OpenLoop {

    /** The time by which calls are sent. */
    interface Pace {

        /** Now, on the schedule's clock. */
        long now();

        /** Waits until then; returns at once where it is over. */
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

    /** Where calls go. */
    interface Line {
        /** Sends a call and returns at once. */
        void send(CallMix.Call call, long deadlineNanos, HttpPool.CompletionListener ended);
    }

    private OpenLoop() {}

    /**
     * Sends all calls of a schedule and returns what hears of their ends. A call that is sent late
     * is not meant later: its time and its deadline count from the schedule.
     */
    static Recorder play(Schedule schedule, CallMix mix, long patienceNanos, Pace pace, Line line) {
        Recorder recorder = new Recorder(schedule);
        for (int i = 0; i < schedule.count() && !Thread.currentThread().isInterrupted(); i++) {
            int index = i;
            pace.until(schedule.at(i));
            line.send(
                    mix.next(),
                    schedule.at(i) + patienceNanos,
                    (end, now) -> recorder.over(index, end, now));
        }
        return recorder;
    }
}
