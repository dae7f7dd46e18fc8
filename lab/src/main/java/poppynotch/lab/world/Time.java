package poppynotch.lab.world;

/**
 * The clock that a world goes by, and what is to happen when. All of a world runs on one thread.
 */
public interface Time {

    /** Milliseconds from the start of the day. */
    double now();

    /** Has a task done in so many milliseconds, at once where that is below 0. */
    Alarm after(double ms, Runnable task);

    /** A task that is to come. */
    interface Alarm {
        /** It does not come; one that has come stays as it was. */
        void cancel();
    }
}
