package poppynotch.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.zip.CRC32C;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Membership;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.MessageSender;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.wire.MalformedMessageException;
import poppynotch.fleet.wire.MessageCodec;
import poppynotch.lab.virtual.VirtualTime;

/**
 * A fleet on the lab's virtual clock: the product's own state machines, with a network of the
 * lab's.
 */
public final class VirtualFleet {

    /** A socket holds so many datagrams for a process that stands still, at most. */
    private static final int SOCKET_HOLDS = 128;

    /** Clocks run apart by up to this part, some ten times what quartz does. */
    private static final double DRIFT = 0.0005;

    /** Hears what members see. */
    interface Watcher {
        /** At one member what is held of another has changed. */
        void changed(double now, int at, MemberUpdate before, MemberUpdate is);
    }

    /**
     * What a member has sent and got since the fleet was made; bytes without the heads of UDP and
     * IP.
     */
    static final class Traffic {
        long messagesOut;
        long bytesOut;
        long messagesIn;
        long bytesIn;

        /** Of what it sent, that to another region. */
        long farMessagesOut;

        long farBytesOut;
    }

    /** One process, or the place where it was. */
    final class Node implements MessageSender {
        final int number;
        final String name;
        final String address;

        /** Its own clock is ahead by so much, and runs at this rate. */
        final double ahead = random.nextDouble() * 1e6;

        final double rate = 1 + (random.nextDouble() * 2 - 1) * DRIFT;
        final Deque<Message> waiting = new ArrayDeque<>();
        final Traffic traffic = new Traffic();
        Membership membership;
        boolean paused;
        boolean startedEver;
        double alarmMs = Double.POSITIVE_INFINITY;
        long process;
        final MemberProfile profile;

        Node(int number, MemberProfile profile) {
            this.number = number;
            this.profile = profile;
            name = "m" + number;
            address =
                    !places.isNone()
                            ? places.address(number)
                            : "10."
                                    + (number >> 16)
                                    + "."
                                    + (number >> 8 & 255)
                                    + "."
                                    + (number & 255)
                                    + ":7000";
        }

        double clock() {
            return ahead + time.now() * rate;
        }

        boolean runs() {
            return membership != null;
        }

        void start() {
            startedEver = true;
            process++;
            alarmMs = Double.POSITIVE_INFINITY;
            membership =
                    new Membership(
                            tuning,
                            name,
                            address,
                            profile,
                            random.nextLong(),
                            this,
                            riders.apply(this),
                            clock());
            plan();
        }

        void end() {
            membership = null;
            paused = false;
            waiting.clear();
        }

        void plan() {
            double next = membership.nextDueMs();
            if (next >= alarmMs) {
                return;
            }
            alarmMs = next;
            long of = process;
            time.after(
                    (next - clock()) / rate,
                    () -> {
                        if (of == process && alarmMs == next) {
                            alarmMs = Double.POSITIVE_INFINITY;
                            if (runs() && !paused) {
                                // Not the clock alone: a rounding error would have it wait once
                                // more for no time.
                                membership.advance(Math.max(next, clock()));
                                plan();
                            }
                        }
                    });
        }

        /** Something has come over the network. */
        private void arrived(Message message, int length) {
            if (runs()) {
                traffic.messagesIn++;
                traffic.bytesIn += length;
            }
            receive(message);
        }

        void receive(Message message) {
            if (paused) {
                if (waiting.size() < SOCKET_HOLDS) {
                    waiting.add(message);
                }
            } else if (runs()) {
                Message given = interposer.received(number, message);
                if (given != null) {
                    membership.receive(clock(), given);
                    plan();
                }
            }
        }

        void goOn() {
            paused = false;
            if (runs()) {
                while (!waiting.isEmpty()) {
                    receive(waiting.poll());
                }
                membership.advance(clock());
                plan();
            }
        }

        @Override
        public void send(String to, Message message, boolean whole) {
            Message given = interposer.sent(number, message);
            Node target = byAddress.get(to);
            if (given == null) {
                return;
            }
            messages++;
            Message passed = given;
            int length = 0;
            if (codec != null) {
                byte[] wire = codec.encode(given);
                length = wire.length;
                bytes += length;
                trace.update(wire, 0, wire.length);
                longest = whole ? longest : Math.max(longest, wire.length);
                try {
                    passed = codec.decode(wire);
                } catch (MalformedMessageException e) {
                    throw new IllegalStateException("what is written can be read", e);
                }
            }
            traffic.messagesOut++;
            traffic.bytesOut += length;
            if (target == null) {
                return;
            }
            if (!places.isNone() && places.region(number) != places.region(target.number)) {
                traffic.farMessagesOut++;
                traffic.farBytesOut += length;
            }
            Message arriving = passed;
            int arrivingLength = length;
            for (double way : net.ways(number, target.number, whole)) {
                time.after(way, () -> target.arrived(arriving, arrivingLength));
            }
        }

        @Override
        public List<String> seedAddresses() {
            return seeds;
        }

        @Override
        public void onMemberChanged(MemberUpdate before, MemberUpdate now) {
            watcher.changed(time.now() - startMs, number, before, now);
        }

        @Override
        public void log(String line) {
            // Told by the members' states too.
        }
    }

    private final VirtualTime time;
    private final double startMs;
    private final SplittableRandom random;
    private final SwimSettings tuning;
    private final Places places;
    private final VirtualNetwork net;
    private final MessageCodec codec;
    private final Interposer interposer;
    private final Watcher watcher;
    private final Function<Node, PiggybackPayload> riders;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byAddress = new HashMap<>();
    private final List<String> seeds = new ArrayList<>();
    private final CRC32C trace = new CRC32C();
    private long messages;
    private long bytes;
    private int longest;

    /**
     * Makes a fleet; {@link #play} plays it.
     *
     * @param encoded whether each message passes the wire format, as it does between processes
     */
    VirtualFleet(
            FleetPlan plan,
            SwimSettings tuning,
            boolean encoded,
            Interposer interposer,
            Watcher watcher) {
        this(plan, tuning, encoded, interposer, watcher, node -> PiggybackPayload.NONE);
    }

    /** The same, with what rides on answers: asked for each process that starts. */
    VirtualFleet(
            FleetPlan plan,
            SwimSettings tuning,
            boolean encoded,
            Interposer interposer,
            Watcher watcher,
            Function<Node, PiggybackPayload> riders) {
        this(plan, tuning, encoded, interposer, watcher, riders, new VirtualTime());
    }

    /** The same on a clock that others use too; members may join later. */
    VirtualFleet(
            FleetPlan plan,
            SwimSettings tuning,
            boolean encoded,
            Interposer interposer,
            Watcher watcher,
            Function<Node, PiggybackPayload> riders,
            VirtualTime time) {
        this(plan, tuning, encoded, interposer, watcher, riders, time, Places.NONE);
    }

    /** The same with members at places. */
    VirtualFleet(
            FleetPlan plan,
            SwimSettings tuning,
            boolean encoded,
            Interposer interposer,
            Watcher watcher,
            Function<Node, PiggybackPayload> riders,
            VirtualTime time,
            Places places) {
        this.riders = riders;
        this.places = places;
        this.time = time;
        startMs = time.now();
        this.tuning = tuning;
        this.interposer = interposer;
        this.watcher = watcher;
        random = new SplittableRandom(plan.seed());
        net = new VirtualNetwork(random.split(), plan.loss(), places);
        codec = encoded ? new MessageCodec("lab") : null;
        for (int i = 0; i < plan.members(); i++) {
            Node node =
                    add(
                            plan.seeds(),
                            new MemberProfile(
                                    zone(i), "front", "1", MemberProfile.Phase.READY, ""));
            time.after(i < plan.seeds() ? 0 : random.nextDouble() * plan.startOver(), node::start);
        }
        plan.faults().forEach(fault -> time.after(fault.at(), () -> strike(fault)));
    }

    private String zone(int member) {
        return places.isNone() ? "z" + member % 3 : places.of(member).zoneName();
    }

    /** A further member, which has not started; the first ones of all are the seeds. */
    Node add(int seeds, MemberProfile profile) {
        Node node = new Node(nodes.size(), profile);
        nodes.add(node);
        byAddress.put(node.address, node);
        if (this.seeds.size() < seeds) {
            this.seeds.add(node.address);
        }
        return node;
    }

    /**
     * Something goes wrong from now on, for as long as it lasts; when it was to begin does not
     * matter.
     */
    void strike(Fault fault) {
        switch (fault.kind()) {
            case KILL, LEAVE -> {
                for (int number : fault.who()) {
                    Node node = nodes.get(number);
                    if (node.runs() && fault.kind() == Fault.Kind.LEAVE && !node.paused) {
                        node.membership.leave(node.clock());
                    }
                    node.end();
                    if (fault.lasts() > 0) {
                        time.after(
                                fault.lasts(),
                                () -> {
                                    if (!node.runs()) {
                                        node.start();
                                    }
                                });
                    }
                }
            }
            case PAUSE -> {
                List<Node> struck =
                        fault.who().stream()
                                .map(nodes::get)
                                .filter(node -> node.runs() && !node.paused)
                                .toList();
                struck.forEach(node -> node.paused = true);
                time.after(fault.lasts(), () -> struck.forEach(Node::goOn));
            }
            default -> {
                net.begin(fault);
                time.after(fault.lasts(), () -> net.end(fault));
            }
        }
    }

    /** From now on nothing passes from one region to another, or all does again. */
    void cut(String from, String to, boolean isCut) {
        net.cut(from, to, isCut);
    }

    /** Plays on until so many milliseconds after the start. */
    void play(double untilMs) {
        while (time.step(startMs + untilMs)) {
            // Each step does what comes next.
        }
    }

    double now() {
        return time.now() - startMs;
    }

    List<Node> nodes() {
        return nodes;
    }

    /** Whether all that run see just those that run present. */
    boolean isOneView() {
        return isOneView(node -> true);
    }

    /** Whether all of these that run see just those of these that run present. */
    boolean isOneView(Predicate<Node> these) {
        List<Node> running =
                nodes.stream().filter(node -> node.runs() && these.test(node)).toList();
        long digest = running.isEmpty() ? 0 : running.get(0).membership.viewDigest();
        return running.stream().allMatch(node -> node.membership.viewDigest() == digest)
                && (running.isEmpty()
                        || running.get(0).membership.view(running.get(0).clock()).presentCount()
                                == running.size());
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    /** The longest datagram. */
    int longest() {
        return longest;
    }

    /** Over all bytes that were sent, in order: the same for the same plan. */
    long trace() {
        return trace.getValue();
    }
}
