package poppynotch.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Membership of one process after SWIM (Das, Gupta, Motivala 2002) with the additions of Lifeguard
 * (Dadgar, Phillips, Currey 2018). It does no I/O and reads no clock: it is told the time, in
 * milliseconds of one clock that never goes back, with each thing that happens. Not for several
 * threads.
 */
public final class Membership {

    /** What fits a datagram beside its head, within 1,400 bytes. */
    public static final int NEWS_BYTES = 1100;

    /** So many are told at once of a leave, each in a datagram of its own: a few may be lost. */
    private static final int LEAVE_FANOUT = 8;

    /** The dead are looked through this often for those to be forgotten. */
    private static final double FORGET_EVERY_MS = 5000;

    /** A process of the same name that answers none of so many probes is gone. */
    private static final int SUCCESSOR_PROBES = 8;

    private final SwimSettings tuning;
    private final LocalMember self;
    private final MemberTable table = new MemberTable();
    private final GossipQueue rumours;
    private final SuspicionTimers suspicions;
    private final LocalHealth health = new LocalHealth();
    private final ViewConvergence agreement = new ViewConvergence(table);
    private final UpdateMerger claims;
    private final Prober prober;
    private final AntiEntropy antiEntropy;
    private final MessageSender port;
    private final PiggybackPayload rider;
    private final SplittableRandom random;
    private long questions;
    private double gossipMs;
    private double forgetMs;
    private double dueMs;
    private double nowMs;

    /**
     * While another process of this name is the member: when it is probed next, and how often in
     * vain.
     */
    private double successorMs;

    private int unanswered;

    /**
     * Begins to take part.
     *
     * @param now the time
     * @param address where others reach this process, IP:port
     * @param seed for what is drawn at random; two processes of one name must not share it
     * @param rider what answers take along; {@link PiggybackPayload#NONE} for nothing
     */
    public Membership(
            SwimSettings tuning,
            String name,
            String address,
            MemberProfile profile,
            long seed,
            MessageSender port,
            PiggybackPayload rider,
            double now) {
        if (!MemberProfile.isWord(name) || !MemberProfile.isWord(address)) {
            throw new IllegalArgumentException(
                    "not a usable name and address: " + name + ", " + address);
        }
        this.tuning = tuning;
        this.port = port;
        this.rider = rider;
        nowMs = now;
        random = new SplittableRandom(seed);
        self = new LocalMember(name, address, random.nextLong() >>> 1, profile);
        rumours = new GossipQueue(tuning.spread());
        suspicions = new SuspicionTimers(tuning, name, random);
        MessageSender heard = new Changes();
        claims =
                new UpdateMerger(
                        tuning, self, table, rumours, suspicions, health, agreement, heard, random);
        prober = new Prober(tuning, self, table, health, claims, this::send, random, now);
        antiEntropy =
                new AntiEntropy(
                        tuning,
                        self,
                        table,
                        claims,
                        port,
                        new AntiEntropy.Sender() {
                            @Override
                            public void ping(MemberUpdate target) {
                                Membership.this.send(
                                        Message.Kind.PING,
                                        target.name(),
                                        target.address(),
                                        0,
                                        target.name(),
                                        "");
                            }

                            @Override
                            public void send(
                                    Message.Kind kind,
                                    String address,
                                    List<Long> buckets,
                                    List<MemberUpdate> updates) {
                                port.send(
                                        address,
                                        new Message(
                                                kind,
                                                self.name,
                                                self.address,
                                                self.run,
                                                0,
                                                "",
                                                "",
                                                table.viewDigest(),
                                                buckets,
                                                updates),
                                        true);
                            }
                        },
                        random,
                        now);
        gossipMs = now;
        forgetMs = now + FORGET_EVERY_MS;
        dueMs = now;
        claims.sayOfSelf(now);
    }

    /** A new member is probed in its turn; all else goes on to the host. */
    private final class Changes implements MessageSender {
        @Override
        public void send(String address, Message message, boolean whole) {
            port.send(address, message, whole);
        }

        @Override
        public List<String> seeds() {
            return port.seeds();
        }

        @Override
        public void changed(MemberUpdate before, MemberUpdate now) {
            if (before == null && now.state().isPresent()) {
                prober.joined(now.name());
            }
            port.changed(before, now);
        }

        @Override
        public void say(String line) {
            port.say(line);
        }
    }

    /** Does what is due; {@link #nextMs} tells when to call again. */
    public void advance(double now) {
        enter(now);
        if (self.successor() == null) {
            claims.timeOver(now);
            suspicions
                    .looks(now)
                    .forEach((name, first) -> lookOnceMore(table.get(name).held, first));
            if (!self.isLeaving()) {
                prober.advance(now);
                antiEntropy.advance(now);
            }
            agreement.settle(now);
        } else {
            watchSuccessor(now);
        }
        if (now >= gossipMs) {
            gossipMs = now + tuning.gossipMs();
            gossip(tuning.fanout());
        }
        if (now >= forgetMs) {
            forgetMs = now + FORGET_EVERY_MS;
            claims.forget(now);
        }
        left(now);
    }

    /** Takes up what another process sent. */
    public void receive(double now, Message message) {
        enter(now);
        if (message.run() == self.run) {
            return;
        }
        MemberTable.Entry from = table.get(message.from());
        if (from != null && from.held.run() == message.run()) {
            from.toldView = message.digest();
            from.toldViewMs = now;
        }
        boolean whole = message.kind().isWhole();
        if (!whole) {
            for (MemberUpdate update : message.updates()) {
                String suspect = claims.hear(now, update, false);
                if (suspect != null && self.successor() == null && !self.isLeaving()) {
                    prober.look(now, suspect);
                }
            }
        }
        switch (message.kind()) {
            case PING -> {
                // Another process may have come to the address of one that is gone.
                if (message.target().equals(self.name)) {
                    if (message.updates().stream().anyMatch(self::isOutdated)) {
                        // Whoever asks has missed the answer to that, which may be told on no more.
                        rumours.tell(self.claim());
                    }
                    send(
                            Message.Kind.ACK,
                            message.from(),
                            message.address(),
                            message.sequence(),
                            "",
                            "");
                }
            }
            case ACK -> {
                if (self.successor() != null) {
                    unanswered = 0;
                }
                double transit = prober.acknowledged(now, message);
                if (transit >= 0 && message.rider().hasRemaining()) {
                    rider.hear(now, message.rider(), transit);
                }
            }
            case NACK -> prober.notAcknowledged(message);
            case PING_REQUEST -> prober.errand(now, message);
            case SYNC_ASK -> antiEntropy.asked(now, message);
            case SYNC_REPLY -> antiEntropy.replied(now, message);
            case SYNC_PUSH -> antiEntropy.pushed(now, message);
            case ASK -> answer(now, message);
            case TELL -> rider.told(now, message.from(), message.sequence(), message.rider());
            default -> {} // GOSSIP: its news was all.
        }
        boolean differs = !whole && message.digest() != table.viewDigest() && rumours.isEmpty();
        if (differs
                && self.successor() == null
                && !self.isLeaving()
                && !message.from().equals(self.name)) {
            antiEntropy.differs(now, message.address());
        }
        left(now);
    }

    /**
     * A process that did not run for longer than a probe takes (paused, starved) has missed
     * answers: it blames nobody for that time.
     */
    private void enter(double now) {
        double late = now - dueMs;
        if (late > tuning.periodMs()) {
            suspicions.putOff(late);
            prober.forget();
            health.worse(1);
            antiEntropy.hurry(now);
            port.say(
                    String.format(Locale.ROOT, "this process did not run for %.1f s", late / 1000));
        }
        dueMs = Math.max(dueMs, now);
        nowMs = now;
    }

    /**
     * What is overdue when a call ends was overdue before it too, and has been told: a process that
     * wakes reads many messages before its timers, and each must not count the same pause again.
     */
    private void left(double now) {
        dueMs = Math.max(now, nextMs());
    }

    /** Who leaves, or has a successor, is no longer the one that is asked. */
    private void answer(double now, Message question) {
        if (self.successor() == null && !self.isLeaving() && question.target().equals(self.name)) {
            ByteBuffer answer =
                    rider.asked(now, question.from(), question.sequence(), question.rider());
            if (answer.hasRemaining()) {
                send(
                        Message.Kind.TELL,
                        question.from(),
                        question.address(),
                        question.sequence(),
                        "",
                        "",
                        answer);
            }
        }
    }

    /**
     * Asks a member something; its answer comes to {@link PiggybackPayload#told}, or never.
     *
     * @param question over {@value #NEWS_BYTES} bytes it goes by a connection
     * @return the number under which the answer comes, or -1 where there is no such member, or this
     *     process is not one itself
     */
    public long ask(double now, String member, ByteBuffer question) {
        enter(now);
        MemberTable.Entry entry = table.get(member);
        long sequence = -1;
        if (entry != null && entry.held.state().isPresent() && self.successor() == null) {
            sequence = ++questions;
            send(Message.Kind.ASK, member, entry.held.address(), sequence, member, "", question);
        }
        left(now);
        return sequence;
    }

    /** Answers a question of some time ago; where who asked is gone, nothing is sent. */
    public void tell(double now, String member, long sequence, ByteBuffer answer) {
        enter(now);
        MemberTable.Entry entry = table.get(member);
        // Who leaves may still wait for an answer.
        if (entry != null && entry.held.state() != MemberState.DEAD && self.successor() == null) {
            send(Message.Kind.TELL, member, entry.held.address(), sequence, "", "", answer);
        }
        left(now);
    }

    /**
     * By datagram, and once by a connection, which losses only delay; both say what it is suspected
     * of.
     */
    private void lookOnceMore(MemberUpdate suspect, boolean first) {
        send(Message.Kind.PING, suspect.name(), suspect.address(), 0, suspect.name(), "");
        if (first) {
            antiEntropy.ask(suspect.address(), List.of(suspect));
        }
    }

    private void watchSuccessor(double now) {
        if (now < successorMs) {
            return;
        }
        successorMs = now + tuning.periodMs();
        MemberUpdate successor = self.successor();
        if (++unanswered <= SUCCESSOR_PROBES) {
            send(Message.Kind.PING, successor.name(), successor.address(), 0, successor.name(), "");
            return;
        }
        unanswered = 0;
        self.comeBack();
        claims.sayOfSelf(now);
        port.say("the process that took this one's place is gone; this one is the member again");
    }

    private void send(
            Message.Kind kind,
            String to,
            String address,
            long sequence,
            String target,
            String targetAddress) {
        send(kind, to, address, sequence, target, targetAddress, Message.NOTHING);
    }

    private void send(
            Message.Kind kind,
            String to,
            String address,
            long sequence,
            String target,
            String targetAddress,
            ByteBuffer said) {
        List<MemberUpdate> updates = new ArrayList<>();
        int room = NEWS_BYTES - said.remaining();
        MemberTable.Entry entry = table.get(to);
        boolean toSelf = to.equals(self.name);
        if (entry != null && !toSelf && entry.held.state() != MemberState.ALIVE) {
            // Whoever is suspected or held dead must know, to speak against it.
            MemberUpdate claim = entry.held.brief();
            updates.add(claim);
            room -= claim.weight();
        }
        if (self.successor() == null) {
            updates.addAll(rumours.next(room, table.present(), updates.isEmpty() ? null : to));
        }
        int left = NEWS_BYTES - updates.stream().mapToInt(MemberUpdate::weight).sum();
        ByteBuffer riding =
                kind == Message.Kind.ACK && self.successor() == null
                        ? rider.next(nowMs, left, table.present())
                        : said;
        port.send(
                address,
                new Message(
                        kind,
                        self.name,
                        self.address,
                        self.run,
                        sequence,
                        target,
                        targetAddress,
                        table.viewDigest(),
                        List.of(),
                        updates,
                        riding),
                said.remaining() > NEWS_BYTES);
    }

    private void gossip(int fanout) {
        if (rumours.isEmpty() || self.successor() != null) {
            return;
        }
        List<MemberUpdate> present = new ArrayList<>();
        for (MemberTable.Entry entry : table.all()) {
            if (entry.held.state().isPresent() && !entry.held.name().equals(self.name)) {
                present.add(entry.held);
            }
        }
        for (int i = 0; i < fanout && !present.isEmpty() && !rumours.isEmpty(); i++) {
            MemberUpdate to = present.remove(random.nextInt(present.size()));
            send(Message.Kind.GOSSIP, to.name(), to.address(), 0, "", "");
        }
    }

    /** What this process says of itself is another from now on. */
    public void describe(double now, MemberProfile next) {
        enter(now);
        if (self.successor() == null && !self.isLeaving() && !next.equals(self.profile())) {
            self.describe(next);
            claims.sayOfSelf(now);
        }
        left(now);
    }

    /** Leaves, and says so at once; it goes on to answer until its host ends it. */
    public void leave(double now) {
        enter(now);
        if (self.successor() == null && !self.isLeaving()) {
            self.leave();
            claims.sayOfSelf(now);
            gossip(LEAVE_FANOUT);
        }
        left(now);
    }

    /** When {@link #advance} is to be called next, on the clock that this process is told. */
    public double nextMs() {
        double next =
                Math.min(Math.min(prober.nextMs(), antiEntropy.nextMs()), suspicions.nextMs());
        if (self.successor() != null) {
            next = successorMs;
        } else if (self.isLeaving()) {
            next = Double.POSITIVE_INFINITY;
        }
        if (!rumours.isEmpty() && self.successor() == null) {
            next = Math.min(next, gossipMs);
        }
        return Math.min(next, forgetMs);
    }

    /** What this process sees. */
    public MembershipView view(double now) {
        int same = 0;
        int other = 0;
        List<MembershipView.Member> members = new ArrayList<>();
        for (MemberTable.Entry entry : table.all()) {
            members.add(new MembershipView.Member(entry.held, now - entry.sinceMs));
            if (entry.held.state().isPresent()
                    && now - entry.toldViewMs <= ViewConvergence.FRESH_MS) {
                if (entry.toldView == table.viewDigest()) {
                    same++;
                } else {
                    other++;
                }
            }
        }
        return new MembershipView(
                self.name,
                table.epoch(),
                table.viewDigest(),
                health.score(),
                same,
                other,
                agreement.size(),
                agreement.isMajority(),
                self.successor() != null,
                members);
    }

    /** The digest of the present view; cheaper than the view. */
    public long viewDigest() {
        return table.viewDigest();
    }

    /** How many are alive or suspect; cheaper than the view. */
    public int present() {
        return table.present();
    }

    /** What is held of a member, or null. */
    public MemberUpdate held(String name) {
        MemberTable.Entry entry = table.get(name);
        return entry == null ? null : entry.held;
    }

    /** Claims about members that were too far ahead to be true, and were not taken up. */
    public long implausible() {
        return claims.implausible();
    }
}
