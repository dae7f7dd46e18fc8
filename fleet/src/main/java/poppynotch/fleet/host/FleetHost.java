package poppynotch.fleet.host;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Membership;
import poppynotch.fleet.membership.MembershipHost;
import poppynotch.fleet.membership.MembershipView;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.wire.Addresses;
import poppynotch.fleet.wire.MalformedMessageException;
import poppynotch.fleet.wire.MessageCodec;

/**
 * Runs the membership protocol of one process on sockets and in real time.
 *
 * <p>Everything runs on one event loop of the process. {@link #start} is called from another
 * thread, and all other methods on that event loop. {@link #close} releases the sockets and the
 * timer; the event loop belongs to the caller.
 */
public final class FleetHost implements MembershipHost {

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final FleetSettings settings;
    private final Consumer<String> log;
    private final MembershipChangeLog changeLog;

    /** Null if the settings name no file. */
    private final SeedAddressFile seedsFile;

    private final MessageCodec codec;
    private final Transport transport;
    private final long startNanos = System.nanoTime();

    /** Null until the transport listens. */
    private Membership membership;

    private MemberProfile profile;
    private Future<?> timer;
    private double timerMs = Double.POSITIVE_INFINITY;
    private boolean closed;

    private FleetHost(
            EventLoop loop,
            ByteBufAllocator buffers,
            FleetSettings settings,
            LinkEmulation links,
            Consumer<String> log) {
        this.loop = loop;
        this.settings = settings;
        this.log = log;
        changeLog = new MembershipChangeLog(log);
        seedsFile =
                settings.seedsFile() == null
                        ? null
                        : new SeedAddressFile(settings.seedsFile(), log);
        codec = new MessageCodec(settings.fleet());
        transport = new Transport(loop, buffers, links, this::onMessage);
    }

    /**
     * Listens and joins the fleet. Blocks; not to be called on the event loop.
     *
     * @param loop the event loop that everything runs on
     * @param buffers allocator of the sockets' buffers
     * @param settings the fleet, the addresses and the seeds
     * @param name member name of this process, unchanged by a restart
     * @param profile the profile that this process publishes
     * @param seed seed of the random numbers, different for each process
     * @param payload state that is piggybacked on membership messages; {@link
     *     PiggybackPayload#NONE} for none
     * @param log receives log lines for operators
     * @throws IOException if no port can be bound
     */
    public static FleetHost start(
            EventLoop loop,
            ByteBufAllocator buffers,
            FleetSettings settings,
            String name,
            MemberProfile profile,
            long seed,
            PiggybackPayload payload,
            Consumer<String> log)
            throws IOException {
        return start(loop, buffers, settings, name, profile, seed, payload, null, log);
    }

    /**
     * Listens and joins the fleet over emulated links, in trials. The other parameters are those of
     * the method without links.
     *
     * @param links delays or drops messages; null in operation
     * @throws IOException if no port can be bound
     */
    public static FleetHost start(
            EventLoop loop,
            ByteBufAllocator buffers,
            FleetSettings settings,
            String name,
            MemberProfile profile,
            long seed,
            PiggybackPayload payload,
            LinkEmulation links,
            Consumer<String> log)
            throws IOException {
        FleetHost host = new FleetHost(loop, buffers, settings, links, log);
        host.transport.listen(settings.listen());
        String address =
                settings.advertise() == null
                        ? Addresses.text(host.transport.address())
                        : settings.advertise();
        host.profile = profile;
        loop.submit(
                        () -> {
                            host.membership =
                                    new Membership(
                                            SwimSettings.DEFAULT,
                                            name,
                                            address,
                                            profile,
                                            seed,
                                            host,
                                            payload,
                                            host.now());
                            host.onTimer();
                        })
                .syncUninterruptibly();
        log.accept(
                "fleet: Member started: name="
                        + name
                        + ", fleet="
                        + settings.fleet()
                        + ", address="
                        + address
                        + ", seedCount="
                        + settings.seeds().size()
                        + (settings.seedsFile() == null
                                ? ""
                                : ", seedsFile=" + settings.seedsFile()));
        return host;
    }

    /** The monotonic clock of the protocol, in milliseconds since the start. */
    public double now() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    private void onMessage(byte[] bytes) {
        if (membership == null || closed) {
            return;
        }
        try {
            membership.receive(now(), codec.decode(bytes));
            scheduleTimer();
        } catch (MalformedMessageException e) {
            transport.count("messages that are " + e.getMessage());
        }
    }

    private void onTimer() {
        timerMs = Double.POSITIVE_INFINITY;
        if (!closed) {
            membership.advance(now());
            scheduleTimer();
        }
    }

    /** Schedules the timer for the protocol's next due time, unless it fires earlier anyway. */
    private void scheduleTimer() {
        double nextDueMs = membership.nextDueMs();
        if (nextDueMs >= timerMs) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerMs = nextDueMs;
        double delayMs = Math.max(0, nextDueMs - now());
        timer = loop.schedule(this::onTimer, (long) (delayMs * NANOS_PER_MS), TimeUnit.NANOSECONDS);
    }

    @Override
    public void send(String address, Message message, boolean overConnection) {
        byte[] bytes = codec.encode(message);
        if (overConnection) {
            transport.sendOverConnection(address, bytes);
        } else {
            transport.sendDatagram(address, bytes);
        }
    }

    @Override
    public List<String> seedAddresses() {
        if (seedsFile == null) {
            return settings.seeds();
        }
        List<String> seeds = new ArrayList<>(settings.seeds());
        seeds.addAll(seedsFile.read());
        return seeds;
    }

    @Override
    public void onMemberChanged(MemberUpdate before, MemberUpdate current) {
        changeLog.changed(now(), before, current);
    }

    @Override
    public void log(String line) {
        log.accept("fleet: " + line);
    }

    /** Changes the phase that this process reports in its profile. */
    public void setPhase(MemberProfile.Phase phase) {
        if (profile.phase() != phase && !closed) {
            profile = profile.withPhase(phase);
            membership.updateProfile(now(), profile);
            scheduleTimer();
        }
    }

    /** Leaves the fleet; the process still answers other members until {@link #close}. */
    public void leave() {
        if (!closed) {
            membership.leave(now());
            scheduleTimer();
        }
    }

    /** A snapshot of this process's membership view. */
    public MembershipView view() {
        return membership.view(now());
    }

    /** The digest of the current view; cheaper than {@link #view}. */
    public long viewDigest() {
        return membership.viewDigest();
    }

    /** The number of present members; cheaper than {@link #view}. */
    public int presentCount() {
        return membership.presentCount();
    }

    /** Counts of messages, bytes and errors since the start, by the names shown to operators. */
    public Map<String, Long> counts() {
        Map<String, Long> counts = transport.counts();
        counts.put("implausible claims", membership.implausibleUpdates());
        return counts;
    }

    /** The last update about a member, or null if it is unknown; cheaper than {@link #view}. */
    public MemberUpdate member(String member) {
        return membership.member(member);
    }

    /**
     * Sends a question to a member; see {@link Membership#sendQuestion}. Returns -1 if the question
     * was not sent.
     */
    public long sendQuestion(String member, ByteBuffer question) {
        long sequence = closed ? -1 : membership.sendQuestion(now(), member, question);
        scheduleTimer();
        return sequence;
    }

    /** Answers an earlier question; see {@link Membership#sendAnswer}. */
    public void sendAnswer(String member, long sequence, ByteBuffer answer) {
        if (!closed) {
            membership.sendAnswer(now(), member, sequence, answer);
            scheduleTimer();
        }
    }

    /** This process's membership view as one line of JSON, for the admin server. */
    public String membersJson() {
        return MembershipViewJson.of(settings.fleet(), membership.view(now()), counts());
    }

    /** Stops the protocol and closes the sockets, without leaving the fleet. */
    public void close() {
        closed = true;
        if (timer != null) {
            timer.cancel(false);
        }
        transport.close();
    }
}
