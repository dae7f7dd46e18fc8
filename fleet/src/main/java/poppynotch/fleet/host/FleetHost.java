package poppynotch.fleet.host;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Membership;
import poppynotch.fleet.membership.MembershipView;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.MessageSender;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.wire.Addresses;
import poppynotch.fleet.wire.MalformedMessageException;
import poppynotch.fleet.wire.MessageCodec;

/**
 * Carries the fleet's protocols on sockets and real time, on the event loop of the process that it
 * serves. All calls but {@link #start} belong on that loop.
 */
public final class FleetHost implements MessageSender {

    private final EventLoop loop;
    private final FleetSettings settings;
    private final Consumer<String> log;
    private final MembershipChangeLog changeLog;
    private final SeedAddressFile seedsFile;
    private final MessageCodec codec;
    private final Transport transport;
    private final long startNanos = System.nanoTime();
    private Membership membership;
    private MemberProfile profile;
    private Future<?> timer;
    private double timerMs = Double.POSITIVE_INFINITY;
    private boolean closed;

    private FleetHost(
            EventLoop loop,
            ByteBufAllocator buffers,
            FleetSettings config,
            LinkEmulation links,
            Consumer<String> log) {
        this.loop = loop;
        this.settings = config;
        this.log = log;
        changeLog = new MembershipChangeLog(log);
        seedsFile =
                config.seedsFile() == null ? null : new SeedAddressFile(config.seedsFile(), log);
        codec = new MessageCodec(config.fleet());
        transport = new Transport(loop, buffers, links, this::onMessage);
    }

    /**
     * Listens and begins to take part.
     *
     * @param loop the one thread that everything runs on; not the calling one
     * @param name of this process in the fleet, the same after a restart
     * @param profile what this process says of itself
     * @param seed for random numbers, another for each process
     * @param rider what it tells others beside membership; {@link PiggybackPayload#NONE} for
     *     nothing
     * @param log takes lines for operators
     * @throws IOException if it cannot listen
     */
    public static FleetHost start(
            EventLoop loop,
            ByteBufAllocator buffers,
            FleetSettings config,
            String name,
            MemberProfile profile,
            long seed,
            PiggybackPayload rider,
            Consumer<String> log)
            throws IOException {
        return start(loop, buffers, config, name, profile, seed, rider, null, log);
    }

    /**
     * The same over links that are emulated, for trials.
     *
     * @param links what they do to messages, or null for the real ones
     * @throws IOException if it cannot listen
     */
    public static FleetHost start(
            EventLoop loop,
            ByteBufAllocator buffers,
            FleetSettings config,
            String name,
            MemberProfile profile,
            long seed,
            PiggybackPayload rider,
            LinkEmulation links,
            Consumer<String> log)
            throws IOException {
        FleetHost host = new FleetHost(loop, buffers, config, links, log);
        host.transport.listen(config.listen());
        String address =
                config.advertise() == null
                        ? Addresses.text(host.transport.address())
                        : config.advertise();
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
                                            rider,
                                            host.now());
                            host.onTimer();
                        })
                .syncUninterruptibly();
        log.accept(
                "fleet: "
                        + name
                        + " is in "
                        + config.fleet()
                        + ", at "
                        + address
                        + ", with "
                        + config.seeds().size()
                        + " seeds"
                        + (config.seedsFile() == null
                                ? ""
                                : " and those of " + config.seedsFile()));
        return host;
    }

    /** The clock that all is told by: milliseconds since the start, never back. */
    public double now() {
        return (System.nanoTime() - startNanos) / 1e6;
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

    private void scheduleTimer() {
        double next = membership.nextMs();
        if (next >= timerMs) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerMs = next;
        timer =
                loop.schedule(
                        this::onTimer,
                        (long) (Math.max(0, next - now()) * 1e6),
                        TimeUnit.NANOSECONDS);
    }

    @Override
    public void send(String address, Message message, boolean whole) {
        byte[] bytes = codec.encode(message);
        if (whole) {
            transport.sendOverConnection(address, bytes);
        } else {
            transport.sendDatagram(address, bytes);
        }
    }

    @Override
    public List<String> seeds() {
        if (seedsFile == null) {
            return settings.seeds();
        }
        List<String> all = new ArrayList<>(settings.seeds());
        all.addAll(seedsFile.read());
        return all;
    }

    @Override
    public void changed(MemberUpdate before, MemberUpdate now) {
        changeLog.changed(now(), before, now);
    }

    @Override
    public void say(String line) {
        log.accept("fleet: " + line);
    }

    /** This process says of itself that it is in another phase. */
    public void phase(MemberProfile.Phase phase) {
        if (profile.phase() != phase && !closed) {
            profile = profile.withPhase(phase);
            membership.updateProfile(now(), profile);
            scheduleTimer();
        }
    }

    /** Tells the others at once that this process goes; it still answers until {@link #close}. */
    public void leave() {
        if (!closed) {
            membership.leave(now());
            scheduleTimer();
        }
    }

    /** What this process sees. */
    public MembershipView view() {
        return membership.view(now());
    }

    /** The digest of the present view; cheaper than the view. */
    public long viewDigest() {
        return membership.viewDigest();
    }

    /** How many are present; cheaper than the view. */
    public int present() {
        return membership.present();
    }

    /** What went out and came in since the start, by what it is: messages, bytes, troubles. */
    public Map<String, Long> counts() {
        Map<String, Long> counts = new TreeMap<>(transport.counts());
        counts.put("implausible claims", membership.implausibleUpdates());
        return counts;
    }

    /** What is held of a member, or null; cheaper than the view. */
    public MemberUpdate held(String member) {
        return membership.held(member);
    }

    /** Asks a member something; see {@link Membership#ask}. */
    public long ask(String member, ByteBuffer question) {
        long sequence = closed ? -1 : membership.ask(now(), member, question);
        scheduleTimer();
        return sequence;
    }

    /** Answers a question of some time ago; see {@link Membership#tell}. */
    public void tell(String member, long sequence, ByteBuffer answer) {
        if (!closed) {
            membership.tell(now(), member, sequence, answer);
            scheduleTimer();
        }
    }

    /** What this process sees, as one line of JSON. */
    public String members() {
        return MembershipViewJson.of(settings.fleet(), membership.view(now()), counts());
    }

    /** Listens no more. */
    public void close() {
        closed = true;
        if (timer != null) {
            timer.cancel(false);
        }
        transport.close();
    }
}
