package poppynotch.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.Ballot;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;

/**
 * Core processes' replicas of the register on a virtual network with virtual disks and a virtual
 * clock.
 */
final class RegisterWorld {

    private static final long TICK_MS = 20;
    private static final long BEAT_MS = 200;

    private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs
                    ? Long.compare(atMs, other.atMs)
                    : Long.compare(order, other.order);
        }
    }

    /** One machine: its disk outlives its processes. */
    final class Machine implements RegisterReplica.Host, AcceptorStorage {
        final String name;
        AcceptorState disk;
        boolean up;
        boolean bootstrap = true;
        int life;
        long diskMs = 1;
        boolean diskHangs;
        boolean cut;

        /** What it sends does not arrive, though it hears the others. */
        boolean mute;

        /** What others send does not arrive here, though they hear it. */
        boolean deaf;

        RegisterReplica replica;
        private final List<Runnable> hanging = new ArrayList<>();

        Machine(String name) {
            this.name = name;
        }

        void start() {
            life++;
            up = true;
            if (disk == null && bootstrap) {
                disk = AcceptorState.initial(founders);
            }
            bootstrap = false;
            replica =
                    new RegisterReplica(
                            name,
                            ++incarnations * 7919,
                            Optional.ofNullable(disk),
                            AcceptorSet.of(List.of()),
                            this,
                            this);
            int now = life;
            tick(now);
            beat(now);
        }

        void kill() {
            up = false;
            life++;
            hanging.clear();
        }

        void wipe() {
            kill();
            disk = null;
        }

        private void tick(int ofLife) {
            if (ofLife == life) {
                replica.tick(nowMs);
                after(TICK_MS, () -> tick(ofLife));
            }
        }

        private void beat(int ofLife) {
            if (ofLife != life) {
                return;
            }
            for (Machine peer : machines.values()) {
                if (peer != this) {
                    Ballot accepted = replica.acceptedBallot();
                    Ballot highest = replica.highestBallot();
                    AcceptorSet acceptors = replica.acceptors();
                    deliver(
                            this,
                            peer,
                            () -> {
                                peer.replica.onPeerState(accepted, highest, acceptors);
                                replica.chosen()
                                        .filter(chosen -> isNews(peer, chosen))
                                        .ifPresent(
                                                chosen ->
                                                        deliver(
                                                                this,
                                                                peer,
                                                                () ->
                                                                        peer.replica.onValueChosen(
                                                                                chosen, false)));
                            });
                }
            }
            after(BEAT_MS, () -> beat(ofLife));
        }

        private boolean isNews(Machine peer, RegisterReplica.ChosenValue chosen) {
            return peer.replica.chosen().map(known -> known.value().revision()).orElse(-1L)
                    < chosen.value().revision();
        }

        @Override
        public void persist(AcceptorState state, Runnable kept) {
            int ofLife = life;
            Runnable write =
                    () -> {
                        if (ofLife == life) {
                            disk = state == null ? disk : state;
                            kept.run();
                        }
                    };
            if (diskHangs) {
                hanging.add(write);
            } else {
                after(diskMs, write);
            }
        }

        void diskGoesOn() {
            diskHangs = false;
            List.copyOf(hanging).forEach(write -> after(0, write));
            hanging.clear();
        }

        @Override
        public void send(String acceptor, RegisterMessage vote) {
            Machine to = machines.get(acceptor);
            if (to == this) {
                int ofLife = life;
                after(
                        0,
                        () -> {
                            if (ofLife == life) {
                                replica.onRegisterMessage(nowMs, name, vote);
                            }
                        });
            } else if (to != null) {
                deliver(this, to, () -> to.replica.onRegisterMessage(nowMs, name, vote));
            }
        }

        @Override
        public void onValueChosen(RegisterReplica.ChosenValue chosen, boolean own) {
            history.add(chosen.value());
            if (own) {
                machines.values().stream()
                        .filter(peer -> peer != this)
                        .forEach(
                                peer ->
                                        deliver(
                                                this,
                                                peer,
                                                () -> peer.replica.onValueChosen(chosen, false)));
            }
        }
    }

    /** An operator's order and what came of it; null while it is under way. */
    static final class Order {
        final long generation;
        final long buildsOn;
        final String content;
        OperatorChangeResult result;

        Order(long generation, long buildsOn, String content) {
            this.generation = generation;
            this.buildsOn = buildsOn;
            this.content = content;
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private final AcceptorSet founders;
    private long order;
    private long incarnations;
    long nowMs;
    double lossShare;
    final Map<String, Machine> machines = new LinkedHashMap<>();

    /** Every value that any process took for chosen. */
    final List<RegisterValue> history = new ArrayList<>();

    RegisterWorld(long seed, List<String> names, int founding) {
        random = new SplittableRandom(seed);
        founders = AcceptorSet.of(names.subList(0, founding));
        names.forEach(name -> machines.put(name, new Machine(name)));
        machines.values().forEach(Machine::start);
    }

    void after(long ms, Runnable action) {
        events.add(new Event(nowMs + ms, order++, action));
    }

    /**
     * Sends over the network: what is cut or lost does not come, nor does what meets a dead
     * process.
     */
    private void deliver(Machine from, Machine to, Runnable action) {
        int fromLife = from.life;
        if (from.cut || to.cut || from.mute || to.deaf || random.nextDouble() < lossShare) {
            return;
        }
        after(
                1 + random.nextInt(3),
                () -> {
                    if (to.up && !to.cut && fromLife <= from.life) {
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

    Order put(String on, long generation, long buildsOn, String content) {
        Order placed = new Order(generation, buildsOn, content);
        resend(on, placed);
        return placed;
    }

    /** The same order once more, to the same or another machine. */
    void resend(String on, Order placed) {
        String json =
                "{\"Generation\":"
                        + placed.generation
                        + ",\"Routes\":[],\"Backends\":[{\"Name\":\""
                        + placed.content
                        + "\"}]}";
        ConfigChange.Read read =
                ConfigChange.read(
                        ConfigChange.Kind.WHOLE,
                        placed.buildsOn,
                        json.getBytes(StandardCharsets.UTF_8));
        ConfigChange change = ((ConfigChange.Read.Good) read).order();
        Machine machine = machines.get(on);
        int ofLife = machine.life;
        machine.replica.submit(
                nowMs,
                change,
                nowMs + 2000,
                outcome -> {
                    if (ofLife == machine.life) {
                        placed.result = change.resultOf(outcome);
                    }
                });
    }

    /** The value that a quorum read on a machine gives; empty if it gives none in time. */
    Optional<RegisterValue> read(String on) {
        List<RegisterValue> found = new ArrayList<>();
        machines.get(on)
                .replica
                .submit(
                        nowMs,
                        poppynotch.register.Change.READ,
                        nowMs + 2500,
                        outcome -> {
                            if (outcome instanceof poppynotch.register.Outcome.Chosen chosen) {
                                found.add(chosen.value());
                            }
                        });
        runUntil(nowMs + 3000);
        return found.stream().findFirst();
    }

    /** No version has two contents, and versions follow each other. */
    Optional<String> contradiction() {
        Map<Long, RegisterValue> byRevision = new HashMap<>();
        Set<Long> generations = new HashSet<>();
        for (RegisterValue value : history) {
            RegisterValue other = byRevision.putIfAbsent(value.revision(), value);
            if (other != null && !other.equals(value)) {
                return Optional.of(
                        "two values of " + value.revision() + ": " + other + " and " + value);
            }
            generations.add(value.generation());
        }
        return Optional.empty();
    }
}
