package poppynotch.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import poppynotch.config.DocumentCodec;
import poppynotch.control.OperatorChangeResult;

/**
 * The operators of a fleet. They read the configuration and submit changes to it, some of which
 * conflict. They also resubmit random earlier changes, whether their results are known or not.
 */
final class VirtualOperator {

    private static final long CALL_TIMEOUT_MS = 1000;
    private static final long FIRST_CALL_MS = 300;
    private static final int MAX_PAUSE_MS = 500;
    private static final int MAX_STORM_PAUSE_MS = 60;
    private static final int MAX_FLOOD_PAUSE_MS = 4;
    private static final long FINAL_RETRY_DELAY_MS = 100;
    private static final int MAX_IN_FLIGHT = 8;

    /** On average one answer is lost out of this number. */
    private static final int LOST_ANSWER_ODDS = 6;

    /** Exclusive bound of the draw that selects an action; its ranges have the next bounds. */
    private static final int ACTION_DRAW_BOUND = 10;

    private static final int READ_DRAW_BOUND = 2;
    private static final int RETRY_DRAW_BOUND = 5;
    private static final int CONFLICT_DRAW_BOUND = 6;

    /** Exclusive bound of the number of generations that a new change skips. */
    private static final int GENERATION_STEP_BOUND = 3;

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final List<SubmittedChange> changes = new ArrayList<>();

    /** The newest acknowledged generation, by the time of its first acknowledgement. */
    private final NavigableMap<Long, Long> acknowledgedGenerations = new TreeMap<>();

    private long stormUntilMs;
    private long floodUntilMs;
    private int inFlight;
    private boolean stopped;
    private boolean losesAnswers = true;

    /** The newest generation that operators know to be in force. */
    private long currentGeneration;

    VirtualOperator(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** All changes submitted so far. */
    List<SubmittedChange> changes() {
        return changes;
    }

    void start() {
        fleet.time().after(FIRST_CALL_MS, this::step);
    }

    /** Submits changes in quick succession for some time. */
    void startStorm(long durationMs) {
        stormUntilMs = fleet.time().getAsLong() + durationMs;
    }

    /** Keeps the maximum number of calls in flight for some time. */
    void startFlood(long durationMs) {
        floodUntilMs = fleet.time().getAsLong() + durationMs;
    }

    /** Stops the periodic calls of the operators; from now on no answer is lost. */
    void stop() {
        stopped = true;
        losesAnswers = false;
    }

    /** Whether the periodic calls of the operators have been stopped. */
    boolean isStopped() {
        return stopped;
    }

    /** The newest generation that was acknowledged to an operator before a time; 0 if none. */
    long newestAcknowledgedGeneration(long beforeMs) {
        Map.Entry<Long, Long> newest = acknowledgedGenerations.lowerEntry(beforeMs);
        return newest == null ? 0 : newest.getValue();
    }

    private void step() {
        if (stopped) {
            return;
        }
        fleet.time().after(1 + random.nextInt(maxPauseMs()), this::step);
        if (inFlight < MAX_IN_FLIGHT) {
            makeRandomCall();
        }
    }

    private int maxPauseMs() {
        long nowMs = fleet.time().getAsLong();
        if (nowMs < floodUntilMs) {
            return MAX_FLOOD_PAUSE_MS;
        }
        return nowMs < stormUntilMs ? MAX_STORM_PAUSE_MS : MAX_PAUSE_MS;
    }

    private void makeRandomCall() {
        int draw = random.nextInt(ACTION_DRAW_BOUND);
        if (changes.isEmpty() || draw >= CONFLICT_DRAW_BOUND) {
            submit(newChange());
        } else if (draw < READ_DRAW_BOUND) {
            readConfiguration();
        } else if (draw < RETRY_DRAW_BOUND) {
            // Includes changes that were answered, as their answers may have been lost.
            submit(changes.get(random.nextInt(changes.size())));
        } else {
            submitConflictingChanges();
        }
    }

    private SubmittedChange newChange() {
        return addChange(
                currentGeneration + 1 + random.nextInt(GENERATION_STEP_BOUND), currentGeneration);
    }

    private SubmittedChange addChange(long generation, long buildsOn) {
        SubmittedChange change = new SubmittedChange(generation, buildsOn, "o" + changes.size());
        changes.add(change);
        return change;
    }

    /** Submits two changes based on one generation, at times with the same new generation. */
    private void submitConflictingChanges() {
        SubmittedChange one = newChange();
        SubmittedChange other = addChange(one.generation() + random.nextInt(2), one.buildsOn());
        submit(one);
        submit(other);
    }

    private void submit(SubmittedChange change) {
        inFlight++;
        call(
                randomReplica(),
                change,
                answer -> {
                    inFlight--;
                    boolean lost = losesAnswers && random.nextInt(LOST_ANSWER_ODDS) == 0;
                    if (!lost) {
                        SubmittedChange.definiteResult(answer)
                                .ifPresent(result -> onResult(change, result));
                    }
                });
    }

    private void onResult(SubmittedChange change, OperatorChangeResult result) {
        fleet.checker().onChangeResult(change, result);
        if (result instanceof OperatorChangeResult.Applied) {
            recordAcknowledged(change.generation());
        }
        if (result instanceof OperatorChangeResult.Applied) {
            currentGeneration = Math.max(currentGeneration, change.generation());
        } else if (result instanceof OperatorChangeResult.Conflict conflict) {
            currentGeneration = Math.max(currentGeneration, conflict.currentGeneration());
        }
    }

    private void recordAcknowledged(long generation) {
        Map.Entry<Long, Long> newest = acknowledgedGenerations.lastEntry();
        if (newest == null || generation > newest.getValue()) {
            acknowledgedGenerations.put(fleet.time().getAsLong(), generation);
        }
    }

    private void call(
            VirtualControlPlane replica,
            SubmittedChange change,
            Consumer<Optional<OperatorChangeResult>> onComplete) {
        new ExternalCall<OperatorChangeResult>(
                        fleet,
                        replica,
                        CALL_TIMEOUT_MS,
                        VirtualOperator.class,
                        result -> result instanceof OperatorChangeResult.Applied)
                .start(
                        onAnswer ->
                                replica.node()
                                        .submitChange(
                                                change.toOperatorChange(fleet.defect()), onAnswer),
                        onComplete);
    }

    /**
     * Submits a new change until one is acknowledged: the same change is resubmitted while its
     * result is unknown, and replaced by a new one if it is rejected.
     *
     * @param onEnd receives whether a change was acknowledged within {@code retries} retries
     */
    void submitUntilAcknowledged(int retries, Consumer<Boolean> onEnd) {
        submitUntilAcknowledged(newChange(), retries, onEnd);
    }

    private void submitUntilAcknowledged(
            SubmittedChange change, int retries, Consumer<Boolean> onEnd) {
        call(
                randomReplica(),
                change,
                answer -> {
                    Optional<OperatorChangeResult> result = SubmittedChange.definiteResult(answer);
                    result.ifPresent(definite -> onResult(change, definite));
                    if (result.isPresent() && change.isAcknowledged()) {
                        onEnd.accept(true);
                    } else if (retries == 0) {
                        onEnd.accept(false);
                    } else {
                        SubmittedChange next = result.isPresent() ? newChange() : change;
                        fleet.time()
                                .after(
                                        FINAL_RETRY_DELAY_MS,
                                        () -> submitUntilAcknowledged(next, retries - 1, onEnd));
                    }
                });
    }

    private void readConfiguration() {
        long sentMs = fleet.time().getAsLong();
        VirtualControlPlane replica = randomReplica();
        new ExternalCall<Optional<byte[]>>(
                        fleet, replica, CALL_TIMEOUT_MS, VirtualOperator.class, answer -> false)
                .start(
                        onAnswer -> readConfiguration(replica, onAnswer),
                        answer ->
                                answer.flatMap(json -> json)
                                        .ifPresent(
                                                json ->
                                                        fleet.checker()
                                                                .onConfigRead(sentMs, json)));
    }

    private void readConfiguration(
            VirtualControlPlane replica, Consumer<Optional<byte[]>> onAnswer) {
        if (fleet.defect() == SeededDefect.READ_FROM_MEMORY) {
            onAnswer.accept(
                    replica.node()
                            .chosenValue()
                            .filter(known -> known.value().generation() > 0)
                            .map(known -> DocumentCodec.decode(known.value().document())));
        } else {
            replica.node().readConfig(onAnswer::accept);
        }
    }

    private VirtualControlPlane randomReplica() {
        List<VirtualControlPlane> replicas = fleet.replicas();
        return replicas.get(random.nextInt(replicas.size()));
    }
}
