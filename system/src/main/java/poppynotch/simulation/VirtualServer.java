package poppynotch.simulation;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * A model server that registers, drains and announces its shutdown. It calls the replica of its
 * last successful call, or a random one.
 */
final class VirtualServer {

    private static final long REGISTRATION_INTERVAL_MS = 1200;
    private static final long CALL_TIMEOUT_MS = 1000;
    private static final long RETRY_DELAY_MS = 150;

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final String id;
    private String version;
    private ServerState state = ServerState.READY;
    private long sequence;
    private long acknowledgedMs = Long.MAX_VALUE;

    /** Name of the replica called last; empty after an unsuccessful call. */
    private String lastReplica = "";

    /** Creates a server that has not started; {@code version} is empty if it reports none. */
    VirtualServer(String id, String version, SimulatedFleet fleet, SplittableRandom random) {
        this.id = id;
        this.version = version;
        this.fleet = fleet;
        this.random = random;
    }

    String id() {
        return id;
    }

    /** When its drain or shutdown was first acknowledged; {@code Long.MAX_VALUE} before that. */
    long acknowledgedMs() {
        return acknowledgedMs;
    }

    boolean isReady() {
        return state == ServerState.READY;
    }

    /** Registers now and periodically until it drains or shuts down. */
    void start() {
        registerPeriodically();
    }

    private void registerPeriodically() {
        if (state != ServerState.READY) {
            return;
        }
        register(success -> {});
        fleet.time().after(REGISTRATION_INTERVAL_MS, this::registerPeriodically);
    }

    /** Sets the version that it reports from its next registration on. */
    void setVersion(String other) {
        version = other;
    }

    /** Stops without announcing it to the control plane. */
    void crash() {
        state = ServerState.EXPIRED;
    }

    /** Registers as draining; retried until acknowledged. */
    void drain() {
        state = ServerState.DRAINING;
        register(success -> onLeavingResult(success, this::drain));
    }

    /** Announces its shutdown without draining first; retried until acknowledged. */
    void announceShutdown() {
        state = ServerState.LEFT;
        call(
                (replica, onAnswer) -> replica.node().deregister(id, onAnswer),
                success -> onLeavingResult(success, this::announceShutdown));
    }

    private void onLeavingResult(boolean success, Runnable retry) {
        if (success) {
            acknowledgedMs = Math.min(acknowledgedMs, fleet.time().getAsLong());
        } else {
            fleet.time().after(RETRY_DELAY_MS, retry);
        }
    }

    private void register(Consumer<Boolean> onResult) {
        sequence++;
        ServerRecord record =
                new ServerRecord(
                        id, VirtualRollouts.BACKEND, id + ":80", "z", 4, state, sequence, version);
        call((replica, onAnswer) -> replica.node().register(record, onAnswer), onResult);
    }

    private interface Call {
        void start(VirtualControlPlane replica, Consumer<Boolean> onAnswer);
    }

    private void call(Call call, Consumer<Boolean> onResult) {
        List<VirtualControlPlane> replicas = fleet.replicas();
        // Drawn even if unused, because otherwise the run of every known seed would change.
        VirtualControlPlane fallback = replicas.get(random.nextInt(replicas.size()));
        VirtualControlPlane replica =
                fleet.replica(lastReplica).filter(VirtualControlPlane::isUp).orElse(fallback);
        lastReplica = replica.name();
        new ExternalCall<Boolean>(
                        fleet,
                        replica,
                        CALL_TIMEOUT_MS,
                        VirtualServer.class,
                        success -> success && state != ServerState.READY)
                .start(
                        onAnswer -> call.start(replica, onAnswer),
                        answer -> {
                            boolean success = answer.orElse(false);
                            if (!success) {
                                lastReplica = "";
                            }
                            onResult.accept(success);
                        });
    }
}
