package poppynotch.lab.world;

/** Clock and scheduler of a simulated world, all of which runs on one thread. */
public interface Time {

    /** Milliseconds from the start of the day. */
    double now();

    /** Schedules a task after a delay in milliseconds; a negative delay counts as 0. */
    Alarm after(double ms, Runnable task);

    /** A scheduled task. */
    interface Alarm {
        /** Cancels the task; without effect once it has run. */
        void cancel();
    }
}
