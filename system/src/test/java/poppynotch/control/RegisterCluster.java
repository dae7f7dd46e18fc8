package poppynotch.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import poppynotch.register.AcceptorRecovery;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.Ballot;
import poppynotch.register.ChangeFunction;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;

/**
 * Replicas of the register on a virtual network with virtual disks and a virtual clock. Events run
 * in the order of their times on the thread of the test; a seed determines delays and losses.
 */
final class RegisterCluster {

    private static final long TICK_INTERVAL_MS = 20;
    private static final long HEARTBEAT_INTERVAL_MS = 200;

    private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs
                    ? Long.compare(atMs, other.atMs)
                    : Long.compare(number, other.number);
        }
    }

    /** A machine with a disk, which outlives its processes, and one process per incarnation. */
    final class Machine implements RegisterReplica.Host, StateStorage<AcceptorState> {
        final String name;
        AcceptorState persistedState;
        boolean isUp;
        boolean bootstrap = true;
        int incarnation;
        long diskLatencyMs = 1;
        boolean diskHangs;
        boolean partitioned;

        /** Messages that it sends are lost; messages of others arrive. */
        boolean dropsOutgoing;

        /** Messages of others are lost; messages that it sends arrive. */
        boolean dropsIncoming;

        RegisterReplica replica;
        private final List<Runnable> hangingWrites = new ArrayList<>();

        Machine(String name) {
            this.name = name;
        }

        void start() {
            incarnation++;
            isUp = true;
            if (persistedState == null && bootstrap) {
                persistedState = AcceptorState.initial(initialAcceptors);
            }
            bootstrap = false;
            replica =
                    new RegisterReplica(
                            name,
                            ++incarnations * 7919,
                            Optional.ofNullable(persistedState),
                            AcceptorSet.of(List.of()),
                            AcceptorRecovery.Settings.DEFAULT,
                            this,
                            this);
            int current = incarnation;
            tick(current);
            sendHeartbeats(current);
        }

        void kill() {
            isUp = false;
            incarnation++;
            hangingWrites.clear();
        }

        void wipe() {
            kill();
            persistedState = null;
        }

        private void tick(int ofIncarnation) {
            if (ofIncarnation == incarnation) {
                replica.tick(nowMs);
                after(TICK_INTERVAL_MS, () -> tick(ofIncarnation));
            }
        }

        private void sendHeartbeats(int ofIncarnation) {
            if (ofIncarnation != incarnation) {
                return;
            }
            for (Machine peer : machines.values()) {
                if (peer != this) {
                    Ballot accepted = replica.acceptedBallot();
                    Ballot highest = replica.highestBallot();
                    AcceptorSet acceptors = replica.acceptors();
                    transmit(
                            this,
                            peer,
                            () -> {
                                peer.replica.onPeerState(accepted, highest, acceptors);
                                replica.chosen()
                                        .filter(chosen -> isNewerThanKnownTo(peer, chosen))
                                        .ifPresent(
                                                chosen ->
                                                        transmit(
                                                                this,
                                                                peer,
                                                                () ->
                                                                        peer.replica.onValueChosen(
                                                                                chosen, false)));
                            });
                }
            }
            after(HEARTBEAT_INTERVAL_MS, () -> sendHeartbeats(ofIncarnation));
        }

        private boolean isNewerThanKnownTo(Machine peer, RegisterReplica.ChosenValue chosen) {
            return peer.replica.chosen().map(known -> known.value().revision()).orElse(-1L)
                    < chosen.value().revision();
        }

        @Override
        public void persist(AcceptorState state, Runnable onPersisted) {
            int ofIncarnation = incarnation;
            Runnable write =
                    () -> {
                        if (ofIncarnation == incarnation) {
                            persistedState = state == null ? persistedState : state;
                            onPersisted.run();
                        }
                    };
            if (diskHangs) {
                hangingWrites.add(write);
            } else {
                after(diskLatencyMs, write);
            }
        }

        void resumeDisk() {
            diskHangs = false;
            List.copyOf(hangingWrites).forEach(write -> after(0, write));
            hangingWrites.clear();
        }

        @Override
        public void send(String acceptor, RegisterMessage message) {
            Machine to = machines.get(acceptor);
            if (to == this) {
                int ofIncarnation = incarnation;
                after(
                        0,
                        () -> {
                            if (ofIncarnation == incarnation) {
                                replica.onRegisterMessage(nowMs, name, message);
                            }
                        });
            } else if (to != null) {
                transmit(this, to, () -> to.replica.onRegisterMessage(nowMs, name, message));
            }
        }

        @Override
        public void onValueChosen(RegisterReplica.ChosenValue chosen, boolean proposedHere) {
            chosenValues.add(chosen.value());
            if (proposedHere) {
                machines.values().stream()
                        .filter(peer -> peer != this)
                        .forEach(
                                peer ->
                                        transmit(
                                                this,
                                                peer,
                                                () -> peer.replica.onValueChosen(chosen, false)));
            }
        }
    }

    /** An operator's change and its result, which is null while the change is in flight. */
    static final class SubmittedChange {
        final long generation;
        final long baseGeneration;
        final String content;
        OperatorChangeResult result;

        SubmittedChange(long generation, long baseGeneration, String content) {
            this.generation = generation;
            this.baseGeneration = baseGeneration;
            this.content = content;
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private final AcceptorSet initialAcceptors;
    private long nextEventNumber;
    private long incarnations;
    long nowMs;
    double lossProbability;
    final Map<String, Machine> machines = new LinkedHashMap<>();

    /** Every value that any replica considered chosen. */
    final List<RegisterValue> chosenValues = new ArrayList<>();

    RegisterCluster(long seed, List<String> names, int initialAcceptorCount) {
        random = new SplittableRandom(seed);
        initialAcceptors = AcceptorSet.of(names.subList(0, initialAcceptorCount));
        names.forEach(name -> machines.put(name, new Machine(name)));
        machines.values().forEach(Machine::start);
    }

    void after(long ms, Runnable action) {
        events.add(new Event(nowMs + ms, nextEventNumber++, action));
    }

    /**
     * Sends a message over the network. Messages of or to isolated machines, random ones, and those
     * that arrive at a stopped process are lost.
     */
    private void transmit(Machine from, Machine to, Runnable action) {
        int fromIncarnation = from.incarnation;
        if (from.partitioned
                || to.partitioned
                || from.dropsOutgoing
                || to.dropsIncoming
                || random.nextDouble() < lossProbability) {
            return;
        }
        after(
                1 + random.nextInt(3),
                () -> {
                    if (to.isUp && !to.partitioned && fromIncarnation <= from.incarnation) {
                        action.run();
                    }
                });
    }

    void runUntil(long ms) {
        while (!events.isEmpty() && events.peek().atMs() <= ms) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = ms;
    }

    SubmittedChange submit(String on, long generation, long baseGeneration, String content) {
        SubmittedChange change = new SubmittedChange(generation, baseGeneration, content);
        submitAgain(on, change);
        return change;
    }

    /** Submits the same change once more, to the same or another machine. */
    void submitAgain(String on, SubmittedChange submitted) {
        String json =
                "{\"Generation\":"
                        + submitted.generation
                        + ",\"Routes\":[],\"Backends\":[{\"Name\":\""
                        + submitted.content
                        + "\"}]}";
        ConfigChange.ParseResult read =
                ConfigChange.parse(
                        ConfigChange.Kind.COMPLETE,
                        submitted.baseGeneration,
                        json.getBytes(StandardCharsets.UTF_8));
        ConfigChange change = ((ConfigChange.ParseResult.Parsed) read).change();
        Machine machine = machines.get(on);
        int ofIncarnation = machine.incarnation;
        machine.replica.submit(
                nowMs,
                change,
                nowMs + 2000,
                outcome -> {
                    if (ofIncarnation == machine.incarnation) {
                        submitted.result = change.resultOf(outcome);
                    }
                });
    }

    /** The value that a quorum read on a machine returns; empty if it returns none in time. */
    Optional<RegisterValue> read(String on) {
        List<RegisterValue> found = new ArrayList<>();
        machines.get(on)
                .replica
                .submit(
                        nowMs,
                        ChangeFunction.READ,
                        nowMs + 2500,
                        outcome -> {
                            if (outcome instanceof ProposalOutcome.Chosen chosen) {
                                found.add(chosen.value());
                            }
                        });
        runUntil(nowMs + 3000);
        return found.stream().findFirst();
    }

    /** Describes two different values chosen for one revision; empty if there are none. */
    Optional<String> contradiction() {
        Map<Long, RegisterValue> byRevision = new HashMap<>();
        for (RegisterValue value : chosenValues) {
            RegisterValue other = byRevision.putIfAbsent(value.revision(), value);
            if (other != null && !other.equals(value)) {
                return Optional.of(
                        "two values of " + value.revision() + ": " + other + " and " + value);
            }
        }
        return Optional.empty();
    }
}
