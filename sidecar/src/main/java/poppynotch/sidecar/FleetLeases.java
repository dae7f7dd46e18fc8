package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.FleetSettings;
import poppynotch.fleet.host.StatusJson;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseSettings;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.LeaseCodec;

/**
 * The leases on singleton roles that this sidecar wants: it requests them from the Raft servers
 * while it serves, and releases them when it does not. This class is loaded only if the
 * configuration names roles.
 *
 * <p>It is owned by {@link FleetMember} and called on the sidecar's event loop only. It holds no
 * buffers: messages are on the heap.
 */
final class FleetLeases implements LeaseClient.Callbacks, PiggybackPayload {

    private static final int ADVANCE_INTERVAL_MS = 50;

    private final String name;
    private final FleetSettings settings;
    private final RateLimitedLog log;
    private final CompositePayload payloads;
    private final LeaseClient client;
    private FleetHost host;
    private boolean serving;
    private boolean leaving;
    private long unreadableCount;

    FleetLeases(
            String name,
            FleetSettings settings,
            long seed,
            CompositePayload payloads,
            RateLimitedLog log) {
        this.name = name;
        this.settings = settings;
        this.payloads = payloads;
        this.log = log;
        SplittableRandom random = new SplittableRandom(seed);
        client =
                new LeaseClient(
                        LeaseSettings.DEFAULT,
                        name,
                        random.nextLong() >>> 1,
                        settings.raftServers(),
                        random,
                        this);
    }

    /** Starts to request and renew leases. */
    void start(EventLoop loop, FleetHost carrier) {
        host = carrier;
        loop.scheduleWithFixedDelay(
                () -> client.advance(host.now()), 0, ADVANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Sets whether this process serves: only a process that serves holds leases. */
    void setServing(boolean nowServing) {
        if (nowServing == serving || leaving) {
            return;
        }
        serving = nowServing;
        settings.wantedLeases()
                .forEach(
                        (role, preference) -> {
                            if (serving) {
                                client.requestRole(host.now(), role, preference);
                            } else {
                                client.releaseRole(host.now(), role);
                            }
                        });
    }

    /** Releases the leases at once, as this process ends. */
    void leave() {
        setServing(false);
        leaving = true;
    }

    /** The requested leases and their known holders, as one line of JSON. */
    String status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("name", name);
        status.put("leader", client.currentServer());
        status.put("unreadable", unreadableCount);
        Map<String, Object> leases = new LinkedHashMap<>();
        for (String role : client.requestedRoles()) {
            long token = client.currentToken(host.now(), role);
            Map<String, Object> lease = new LinkedHashMap<>();
            lease.put("holder", client.lastKnownLease(role).holder());
            lease.put("token", Math.max(token, client.lastKnownLease(role).token()));
            lease.put("mine", token > 0);
            lease.put("left_ms", (long) client.remainingMs(host.now(), role));
            leases.put(role, lease);
        }
        status.put("duties", leases);
        return StatusJson.of(status);
    }

    @Override
    public long sendRequest(LeaseClient.Request question) {
        ByteBuffer bytes = LeaseCodec.encodeQuestion(question);
        long sequence =
                host.sendQuestion(
                        question.server(), CompositePayload.encodeSingle(LeaseCodec.LETTER, bytes));
        if (sequence >= 0) {
            payloads.recordSent(LeaseCodec.LETTER, bytes);
        }
        return sequence;
    }

    @Override
    public void onAcquired(String role, long token) {
        log.info("fleet: Lease acquired: role=" + role + ", token=" + token);
    }

    @Override
    public void onLost(String role, long token, String cause) {
        log.info("fleet: Lease lost: role=" + role + ", token=" + token + ", cause=" + cause);
    }

    @Override
    public void onAnswer(double now, String from, long sequence, ByteBuffer answer) {
        try {
            client.onResponse(now, sequence, LeaseCodec.decodeAnswer(answer));
        } catch (IOException e) {
            unreadableCount++;
        }
    }
}
