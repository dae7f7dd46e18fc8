package poppynotch.lab.world;

/** Clock and scheduler of a simulated world, all of which runs on one thread. */
public interface SimulationClock {

    /** Milliseconds from the start of the day. */
    double now();

    /** Schedules a task after a delay in milliseconds; a negative delay counts as 0. */
    Timer schedule(double ms, Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; without effect once it has run. */
        void cancel();
    }
}
