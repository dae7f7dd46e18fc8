package poppynotch.lab.added;

import java.util.Map;

/**
 * Results of the calls that went one way for some seconds.
 *
 * @param calls outcomes and times of the calls
 * @param threads processor times of the sidecar's threads meanwhile
 * @param fromNanos time of the first call
 * @param toNanos when the last call was complete
 */
record Block(
        Recorder calls,
        Map<ThreadTimes.Kind, ThreadTimes.Times> threads,
        long fromNanos,
        long toNanos) {

    double seconds() {
        return (toNanos - fromNanos) / 1e9;
    }

    /** The sum of the times of all threads. */
    ThreadTimes.Times allThreads() {
        return threads.values().stream().reduce(ThreadTimes.Times.NONE, ThreadTimes.Times::plus);
    }

    /**
     * One block each way, shortly after one another, with the same calls.
     *
     * @param direct without the sidecar
     * @param by through the sidecar
     */
    record Pair(Block direct, Block by) {

        Estimate.Pair calls() {
            return new Estimate.Pair(direct.calls(), by.calls());
        }
    }
}
