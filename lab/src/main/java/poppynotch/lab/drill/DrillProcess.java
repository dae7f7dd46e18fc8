package poppynotch.lab.drill;

import java.net.InetAddress;
import java.util.concurrent.CompletableFuture;

/**
 * One run of a sidecar process in a drill, from its start to its end; a restart is a new one.
 *
 * <p>Owned by one {@link Drill}, which configures it on the event loop of the day and reads it on
 * its own thread. The process itself belongs to the day, which ends it.
 */
final class DrillProcess {

    final int number;
    final String name;
    final String zone;
    final InetAddress address;
    CompletableFuture<Process> process;

    /** In seconds from the start of the day. */
    double startedAt;

    /** In seconds from the start of the day; infinite while it runs. */
    volatile double endedAt = Double.POSITIVE_INFINITY;

    /**
     * A process that is not started yet.
     *
     * @param number of the sidecar, another one after each restart
     * @param name as a member of the fleet, the same after a restart of a front
     * @param zone where it stands
     * @param address at which it listens for other members
     * @param startedAt seconds from the start of the day
     */
    DrillProcess(int number, String name, String zone, InetAddress address, double startedAt) {
        this.number = number;
        this.name = name;
        this.zone = zone;
        this.address = address;
        this.startedAt = startedAt;
    }

    /** The name of this run, which no other run has. */
    String runName() {
        return name + "#" + number;
    }

    boolean isRunning() {
        return process.isDone() && !process.isCompletedExceptionally() && process.join().isAlive();
    }

    boolean isStartingOrRunning() {
        return process == null || !process.isDone() || isRunning();
    }
}
