package poppynotch.lab.scale;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * What a scale run is made of, the same for all of its sizes.
 *
 * @param root of the repository, with the programs built
 * @param sidecar the command that becomes a real sidecar
 * @param logs where configurations and logs go, a folder for each size
 * @param real sidecars that are members; they and the keepers are the seeds
 * @param plain sidecars without a fleet, to compare with
 * @param keepers 0, 3 or 5
 * @param perProcess hollow members in a process
 * @param phases those that are played, in the order of {@link Phase}
 * @param settle between one view and the first figures
 * @param idle for how long nothing happens
 * @param day an ordinary day is pressed into so long
 * @param regionCut for how long the regions are apart
 * @param patience how long one view, or anything else that is waited for, may take
 * @param seed draws who is killed and when
 */
public record ScaleSetup(
        Path root,
        String sidecar,
        Path logs,
        int real,
        int plain,
        int keepers,
        int perProcess,
        List<Phase> phases,
        Duration settle,
        Duration idle,
        Duration day,
        Duration regionCut,
        Duration patience,
        long seed) {

    /** What a run plays; the start is always played. */
    public enum Phase {
        /** From the first process to one view. */
        START,
        /** Nothing happens. */
        IDLE,
        /** Discovery's lists change, and the settings of the real sidecars. */
        CONFIG,
        /**
         * An ordinary day's failures and restarts pressed together, then its restarts all at once.
         */
        DAY,
        /** A rack is lost and comes back. */
        RACK,
        /** A zone is lost and comes back. */
        ZONE,
        /** The regions lose each other and find each other again. */
        REGION
    }

    /** Refuses what cannot be played, in one line. */
    public ScaleSetup {
        if (real < 0 || plain < 0 || perProcess < 1) {
            throw new IllegalArgumentException("--real must be 0 or more, --per-process 1 or more");
        }
        if (keepers != 0 && keepers != 3 && keepers != 5) {
            throw new IllegalArgumentException("--keepers must be 0, 3 or 5 but is " + keepers);
        }
        if (real + keepers == 0) {
            throw new IllegalArgumentException(
                    "--real and --keepers must not both be 0: hollow members join" + " by them");
        }
        for (Duration time : List.of(idle, day, regionCut, patience)) {
            if (time.toMillis() < 1000) {
                throw new IllegalArgumentException(
                        "a time must be 1s or more but is " + time.toMillis() + " ms");
            }
        }
        phases = phases.stream().distinct().sorted().toList();
    }
}
