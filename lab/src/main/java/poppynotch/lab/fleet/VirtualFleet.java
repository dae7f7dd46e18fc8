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
import poppynotch.fleet.membership.MembershipHost;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.wire.MalformedMessageException;
import poppynotch.fleet.wire.MessageCodec;
import poppynotch.lab.virtual.VirtualClock;

/**
 * A simulated fleet on virtual time: runs the product's own {@link Membership} state machine for
 * every member over a {@link VirtualNetwork} and injects the faults of a {@link FleetPlan}.
 *
 * <p>A trial makes the fleet and drives it by {@link #runUntil}. All callbacks run on the thread
 * that calls it; a fleet is confined to that thread. The same plan sends the same bytes in the same
 * order, so the order of random draws and of scheduled events matters. A fleet owns no resources
 * that have to be released.
 */
public final class VirtualFleet {

    /** Messages that the socket of a paused process buffers; further ones are dropped. */
    private static final int MAX_SOCKET_BACKLOG = 128;

    /**
     * Largest relative difference of a member's clock rate from true time: some ten times the drift
     * of a quartz clock.
     */
    private static final double MAX_CLOCK_DRIFT = 0.0005;

    /** Receives the changes in the membership views of all members. */
    interface MembershipListener {
        /**
         * The view that one member has of another has changed.
         *
         * @param nowMs true time since the start of the fleet
         * @param observer the number of the member whose view has changed
         * @param before the previous record, or null when the member was unknown
         * @param after the new record
         */
        void onMemberChanged(double nowMs, int observer, MemberUpdate before, MemberUpdate after);
    }

    /**
     * Messages and bytes that a member has sent and received since the fleet was made; bytes
     * without UDP and IP headers.
     */
    static final class Traffic {
        long messagesOut;
        long bytesOut;
        long messagesIn;
        long bytesIn;

        /** The part of the sent messages that went to another region. */
        long crossRegionMessagesOut;

        long crossRegionBytesOut;
    }

    /**
     * A member of the fleet: its name and address, which outlive its processes, and the process
     * that runs now, if any.
     */
    final class Node implements MembershipHost {
        final int number;
        final String name;
        final String address;

        /** By how much the member's clock is ahead of true time at time 0. */
        final double clockOffsetMs = random.nextDouble() * 1e6;

        /** Milliseconds on the member's clock per millisecond of true time. */
        final double clockRate = 1 + (random.nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;

        /** Messages that arrived while the process was paused. */
        final Deque<Message> socketBacklog = new ArrayDeque<>();

        final Traffic traffic = new Traffic();

        /** The state machine of the running process, or null when none runs. */
        Membership membership;

        boolean paused;
        boolean hasEverStarted;

        /** When the scheduled timer fires by the member's clock; infinite when none is. */
        double timerDueMs = Double.POSITIVE_INFINITY;

        /** How many processes of this member have started; tells timers of earlier ones apart. */
        long processNumber;

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

        /** The time on the member's own clock, in milliseconds. */
        double localTimeMs() {
            return clockOffsetMs + time.now() * clockRate;
        }

        boolean isRunning() {
            return membership != null;
        }

        /** Starts a new process, which knows nothing of earlier ones. */
        void start() {
            hasEverStarted = true;
            processNumber++;
            timerDueMs = Double.POSITIVE_INFINITY;
            membership =
                    new Membership(
                            settings,
                            name,
                            address,
                            profile,
                            random.nextLong(),
                            this,
                            payloadFactory.apply(this),
                            localTimeMs());
            scheduleTimer();
        }

        /** Ends the process at once; what its socket has buffered is lost. */
        void stop() {
            membership = null;
            paused = false;
            socketBacklog.clear();
        }

        /** Schedules the next step of the state machine, unless an earlier one is scheduled. */
        void scheduleTimer() {
            double dueMs = membership.nextDueMs();
            if (dueMs >= timerDueMs) {
                return;
            }
            timerDueMs = dueMs;
            long scheduledBy = processNumber;
            time.schedule(
                    (dueMs - localTimeMs()) / clockRate,
                    () -> {
                        if (scheduledBy == processNumber && timerDueMs == dueMs) {
                            onTimer(dueMs);
                        }
                    });
        }

        private void onTimer(double dueMs) {
            timerDueMs = Double.POSITIVE_INFINITY;
            if (isRunning() && !paused) {
                // By the clock alone a rounding error could leave it just before the due time, and
                // the timer would be scheduled again for no time at all.
                membership.advance(Math.max(dueMs, localTimeMs()));
                scheduleTimer();
            }
        }

        private void onArrival(Message message, int length) {
            if (isRunning()) {
                traffic.messagesIn++;
                traffic.bytesIn += length;
            }
            receive(message);
        }

        /** Hands a message to the process, or buffers it while the process is paused. */
        void receive(Message message) {
            if (paused) {
                if (socketBacklog.size() < MAX_SOCKET_BACKLOG) {
                    socketBacklog.add(message);
                }
            } else if (isRunning()) {
                Message passed = interposer.received(number, message);
                if (passed != null) {
                    membership.receive(localTimeMs(), passed);
                    scheduleTimer();
                }
            }
        }

        /** Ends a pause: handles the buffered messages first, then the timers that are due. */
        void resume() {
            paused = false;
            if (isRunning()) {
                while (!socketBacklog.isEmpty()) {
                    receive(socketBacklog.poll());
                }
                membership.advance(localTimeMs());
                scheduleTimer();
            }
        }

        @Override
        public void send(String address, Message message, boolean reliable) {
            Message passed = interposer.sent(number, message);
            Node target = byAddress.get(address);
            if (passed == null) {
                return;
            }
            messagesSent++;
            Message arriving = passed;
            int length = 0;
            if (codec != null) {
                byte[] wire = codec.encode(passed);
                length = wire.length;
                recordSent(wire, reliable);
                arriving = decode(wire);
            }
            traffic.messagesOut++;
            traffic.bytesOut += length;
            if (target != null) {
                deliver(target, arriving, length, reliable);
            }
        }

        private void deliver(Node target, Message message, int length, boolean reliable) {
            if (!places.isNone() && places.region(number) != places.region(target.number)) {
                traffic.crossRegionMessagesOut++;
                traffic.crossRegionBytesOut += length;
            }
            for (double delayMs : network.deliveryDelaysMs(number, target.number, reliable)) {
                time.schedule(delayMs, () -> target.onArrival(message, length));
            }
        }

        @Override
        public List<String> seedAddresses() {
            return seeds;
        }

        @Override
        public void onMemberChanged(MemberUpdate before, MemberUpdate after) {
            listener.onMemberChanged(time.now() - startMs, number, before, after);
        }

        @Override
        public void log(String line) {
            // Trials read the states of the members instead.
        }
    }

    private final VirtualClock time;
    private final double startMs;
    private final SplittableRandom random;
    private final SwimSettings settings;
    private final FailureDomains places;
    private final VirtualNetwork network;

    /** Encodes and decodes each message; null where messages are passed as objects. */
    private final MessageCodec codec;

    private final Interposer interposer;
    private final MembershipListener listener;
    private final Function<Node, PiggybackPayload> payloadFactory;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byAddress = new HashMap<>();
    private final List<String> seeds = new ArrayList<>();
    private final CRC32C traceChecksum = new CRC32C();
    private long messagesSent;
    private long bytesSent;
    private int longestDatagramBytes;

    /**
     * Makes a fleet on a clock of its own; {@link #runUntil} runs it.
     *
     * @param encoded whether each message passes the wire format, as it does between processes
     */
    VirtualFleet(
            FleetPlan plan,
            SwimSettings tuning,
            boolean encoded,
            Interposer interposer,
            MembershipListener watcher) {
        this(plan, tuning, encoded, interposer, watcher, node -> PiggybackPayload.NONE);
    }

    /**
     * Makes a fleet whose answers carry piggybacked payloads.
     *
     * @param payloads called for each process that starts
     */
    VirtualFleet(
            FleetPlan plan,
            SwimSettings tuning,
            boolean encoded,
            Interposer interposer,
            MembershipListener watcher,
            Function<Node, PiggybackPayload> payloads) {
        this(plan, tuning, encoded, interposer, watcher, payloads, new VirtualClock());
    }

    /** Makes a fleet on a clock that others use too; members may be added later. */
    VirtualFleet(
            FleetPlan plan,
            SwimSettings tuning,
            boolean encoded,
            Interposer interposer,
            MembershipListener watcher,
            Function<Node, PiggybackPayload> payloads,
            VirtualClock time) {
        this(plan, tuning, encoded, interposer, watcher, payloads, time, FailureDomains.NONE);
    }

    /** Makes a fleet whose members stand in racks, zones and regions. */
    VirtualFleet(
            FleetPlan plan,
            SwimSettings tuning,
            boolean encoded,
            Interposer interposer,
            MembershipListener watcher,
            Function<Node, PiggybackPayload> payloads,
            VirtualClock time,
            FailureDomains places) {
        this.payloadFactory = payloads;
        this.places = places;
        this.time = time;
        startMs = time.now();
        this.settings = tuning;
        this.interposer = interposer;
        this.listener = watcher;
        random = new SplittableRandom(plan.seed());
        network = new VirtualNetwork(random.split(), plan.loss(), places);
        codec = encoded ? new MessageCodec("lab") : null;
        for (int i = 0; i < plan.members(); i++) {
            Node node =
                    addNode(
                            plan.seeds(),
                            new MemberProfile(
                                    zone(i), "front", "1", MemberProfile.Phase.READY, ""));
            time.schedule(
                    i < plan.seeds() ? 0 : random.nextDouble() * plan.startOver(), node::start);
        }
        plan.faults().forEach(fault -> time.schedule(fault.at(), () -> inject(fault)));
    }

    private String zone(int member) {
        return places.isNone() ? "z" + member % 3 : places.of(member).zoneName();
    }

    /**
     * Adds a member whose process has not started.
     *
     * @param seeds how many of the first members of the fleet are its seeds
     */
    Node addNode(int seeds, MemberProfile profile) {
        Node node = new Node(nodes.size(), profile);
        nodes.add(node);
        byAddress.put(node.address, node);
        if (this.seeds.size() < seeds) {
            this.seeds.add(node.address);
        }
        return node;
    }

    /** Injects a fault now, for as long as it lasts; {@link Fault#at} is ignored. */
    void inject(Fault fault) {
        switch (fault.kind()) {
            case KILL, LEAVE ->
                    fault.who().forEach(number -> stopProcess(nodes.get(number), fault));
            case PAUSE -> pauseProcesses(fault);
            default -> {
                network.startFault(fault);
                time.schedule(fault.lasts(), () -> network.endFault(fault));
            }
        }
    }

    private void stopProcess(Node node, Fault fault) {
        if (node.isRunning() && fault.kind() == Fault.Kind.LEAVE && !node.paused) {
            node.membership.leave(node.localTimeMs());
        }
        node.stop();
        if (fault.lasts() > 0) {
            time.schedule(
                    fault.lasts(),
                    () -> {
                        if (!node.isRunning()) {
                            node.start();
                        }
                    });
        }
    }

    private void pauseProcesses(Fault fault) {
        List<Node> struck =
                fault.who().stream()
                        .map(nodes::get)
                        .filter(node -> node.isRunning() && !node.paused)
                        .toList();
        struck.forEach(node -> node.paused = true);
        time.schedule(fault.lasts(), () -> struck.forEach(Node::resume));
    }

    private void recordSent(byte[] wire, boolean reliable) {
        bytesSent += wire.length;
        traceChecksum.update(wire, 0, wire.length);
        if (!reliable) {
            longestDatagramBytes = Math.max(longestDatagramBytes, wire.length);
        }
    }

    private Message decode(byte[] wire) {
        try {
            return codec.decode(wire);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(
                    "the codec cannot decode a message that it encoded, of "
                            + wire.length
                            + " bytes",
                    e);
        }
    }

    /**
     * Starts or ends a partition of one direction: while it lasts, no message passes from the one
     * region to the other.
     */
    void setRegionPartitioned(String from, String to, boolean isPartitioned) {
        network.setPartitioned(from, to, isPartitioned);
    }

    /** Runs all events up to a time, in milliseconds since the start of the fleet. */
    void runUntil(double untilMs) {
        while (time.step(startMs + untilMs)) {
            // Each step runs the next scheduled event.
        }
    }

    /** True time since the start of the fleet, in milliseconds. */
    double elapsedMs() {
        return time.now() - startMs;
    }

    List<Node> nodes() {
        return nodes;
    }

    /** Whether all running members have the same view, with just the running members present. */
    boolean hasConverged() {
        return hasConverged(node -> true);
    }

    /** The same, with only the selected members considered. */
    boolean hasConverged(Predicate<Node> selected) {
        List<Node> running =
                nodes.stream().filter(node -> node.isRunning() && selected.test(node)).toList();
        if (running.isEmpty()) {
            return true;
        }
        Node first = running.get(0);
        long digest = first.membership.viewDigest();
        return running.stream().allMatch(node -> node.membership.viewDigest() == digest)
                && first.membership.view(first.localTimeMs()).presentCount() == running.size();
    }

    long messagesSent() {
        return messagesSent;
    }

    long bytesSent() {
        return bytesSent;
    }

    /** The length of the longest datagram so far; messages over connections do not count. */
    int longestDatagramBytes() {
        return longestDatagramBytes;
    }

    /** A checksum over all bytes that were sent, in order: the same for the same plan. */
    long traceChecksum() {
        return traceChecksum.getValue();
    }
}
