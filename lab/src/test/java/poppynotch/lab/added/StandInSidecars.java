package poppynotch.lab.added;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Test double of sidecars in the test's process: forwards each call after a constant delay. Closing
 * it stops its event loop.
 */
public final class StandInSidecars implements MeasuredSidecar.Launcher, AutoCloseable {

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final long delayMs;
    private final AtomicInteger open = new AtomicInteger();
    private final List<JsonNode> configs = new ArrayList<>();

    /** Sidecars that delay each call by so many milliseconds. */
    public StandInSidecars(long delayMs) {
        this.delayMs = delayMs;
    }

    /** How many were started and are not closed. */
    public int open() {
        return open.get();
    }

    /** The configurations that they were started with. */
    public List<JsonNode> configs() {
        return configs;
    }

    @Override
    public MeasuredSidecar start(ObjectNode config, boolean observed) {
        configs.add(config);
        String[] first = config.at("/known/servers/0/addr").asText().split(":");
        HttpPool behind =
                new HttpPool(loop, new InetSocketAddress(first[0], Integer.parseInt(first[1])), 64);
        QuickServer server =
                new QuickServer(
                        loop,
                        (call, deadline, listener) ->
                                loop.schedule(
                                        () -> behind.send(call, deadline, listener),
                                        delayMs,
                                        TimeUnit.MILLISECONDS));
        InetSocketAddress address = server.listen(90, 1).get(0);
        open.incrementAndGet();
        return new MeasuredSidecar() {
            @Override
            public InetSocketAddress address() {
                return address;
            }

            @Override
            public double readySeconds() {
                return 0;
            }

            @Override
            public double residentMb() {
                return 0;
            }

            @Override
            public ThreadTimes threads() {
                return ThreadTimes.none();
            }

            @Override
            public List<PauseLog.Pause> pauses() {
                return List.of();
            }

            @Override
            public boolean isAlive() {
                return true;
            }

            @Override
            public void close() {
                server.close();
                open.decrementAndGet();
            }
        };
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
