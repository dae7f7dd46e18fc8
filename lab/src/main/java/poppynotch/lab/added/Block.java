package poppynotch.lab.added;

import java.util.Map;

/**
 * Calls that went one way for some seconds.
 *
 * @param threads what the sidecar's threads had of the processors meanwhile
 * @param fromNanos when it began
 * @param toNanos when its last call was over
 */
record Block(
        Recorder calls,
        Map<ThreadTimes.Kind, ThreadTimes.Times> threads,
        long fromNanos,
        long toNanos) {

    double seconds() {
        return (toNanos - fromNanos) / 1e9;
    }

    /** What all threads together had. */
    ThreadTimes.Times allThreads() {
        return threads.values().stream().reduce(ThreadTimes.Times.NONE, ThreadTimes.Times::plus);
    }

    /** One block each way, shortly after one another, with the same calls. */
    record Pair(Block direct, Block by) {

        Estimate.Pair calls() {
            return new Estimate.Pair(direct.calls(), by.calls());
        }
    }
}
