package poppynotch.lab.socket;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.SidecarPort;
import poppynotch.lab.world.Sidecars.Placement;
import poppynotch.lab.world.SimulatedDay;

/**
 * A real sidecar process, and the callers' connections to it: idle ones are reused, and each
 * carries one request at a time.
 *
 * <p>Made by a {@link SocketWorld}, which kills it; all methods are called on that one's event
 * loop, other than {@link #kill}, which its shutdown hook calls too.
 */
final class SidecarProcess implements SidecarPort {

    /** Pause between two checks whether a sidecar is ready. */
    private static final double READY_POLL_MS = 50;

    /** A start that takes longer has failed: the platform waits no longer either. */
    private static final double START_TIMEOUT_MS = 30_000;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    /** Model servers still know a request this long after its end, as retries of it may arrive. */
    private static final double RETENTION_MS = 10_000;

    private final EventLoop loop;
    private final SimulatedDay day;
    private final CallRegistry calls;
    private final InetSocketAddress address;

    private final int number;
    private final int zone;
    private final Bootstrap bootstrap;
    private final Deque<Channel> idle = new ArrayDeque<>();
    private final Map<Call, Connection> inFlight = new HashMap<>();

    /** Completes once the process runs. */
    private CompletableFuture<Process> process;

    private double startedAt;
    private boolean ended;

    SidecarProcess(
            EventLoop loop,
            SimulatedDay scene,
            CallRegistry calls,
            InetSocketAddress address,
            Placement post) {
        this.loop = loop;
        this.day = scene;
        this.calls = calls;
        this.address = address;
        number = post.number();
        zone = post.zone();
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        fresh.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BYTES),
                                                        new Connection());
                                    }
                                });
    }

    /**
     * Starts the process.
     *
     * @param builder of the process
     * @param starter runs what blocks: starting a process takes tens of milliseconds
     * @param ready is called on the event loop once the process can serve
     */
    void start(ProcessBuilder builder, Executor starter, Runnable ready) {
        startedAt = day.now();
        process =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return builder.start();
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        },
                        starter);
        process.whenComplete((started, failure) -> loop.execute(() -> onStart(started, failure)));
        pollReadiness(ready);
    }

    private void onStart(Process started, Throwable failure) {
        if (failure != null) {
            onEnd("could not be started: " + failure.getCause().getMessage());
            return;
        }
        started.onExit()
                .thenRun(
                        () ->
                                loop.execute(
                                        () ->
                                                onEnd(
                                                        "ended by itself with status "
                                                                + started.exitValue())));
    }

    CompletableFuture<Process> process() {
        return process;
    }

    private void onEnd(String how) {
        if (!ended) {
            ended = true;
            day.listener().onSidecarCrashed(day.now(), number, how);
        }
    }

    private void pollReadiness(Runnable ready) {
        if (ended) {
            return;
        }
        if (day.now() - startedAt > START_TIMEOUT_MS) {
            day.listener().onSidecarCrashed(day.now(), number, "was not ready after 30 s");
            return;
        }
        ReadinessProbe.probe(
                loop,
                address,
                isReady -> {
                    if (isReady && !ended) {
                        ready.run();
                    } else {
                        day.time().schedule(READY_POLL_MS, () -> pollReadiness(ready));
                    }
                });
    }

    @Override
    public void request(Call call, Consumer<Answer> answer) {
        call.sidecar = number;
        call.sidecarZone = zone;
        calls.put(call);
        send(call, answer, false);
    }

    private void send(Call call, Consumer<Answer> answer, boolean newConnectionOnly) {
        Channel reusable = newConnectionOnly ? null : idle.pollLast();
        while (reusable != null && !reusable.isActive()) {
            reusable = idle.pollLast();
        }
        if (reusable != null) {
            reusable.pipeline().get(Connection.class).send(reusable, call, answer, true);
            return;
        }
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                complete(call, answer, Answer.of(Answer.Kind.UNREACHABLE));
                            } else if (call.completed) {
                                connected.channel().close();
                            } else {
                                connected
                                        .channel()
                                        .pipeline()
                                        .get(Connection.class)
                                        .send(connected.channel(), call, answer, false);
                            }
                        });
    }

    private void complete(Call call, Consumer<Answer> callback, Answer answer) {
        inFlight.remove(call);
        day.time().schedule(RETENTION_MS, () -> calls.remove(call));
        callback.accept(answer);
    }

    @Override
    public void abandon(Call call) {
        Connection connection = inFlight.remove(call);
        day.time().schedule(RETENTION_MS, () -> calls.remove(call));
        if (connection != null) {
            connection.abort();
        }
    }

    @Override
    public void kill() {
        ended = true;
        process.thenAccept(Process::destroyForcibly);
    }

    @Override
    public void terminate() {
        ended = true;
        // SIGTERM, to the process that the command became.
        process.thenAccept(Process::destroy);
    }

    /** One of the callers' connections, with one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Channel channel;
        private Call call;
        private Consumer<Answer> answer;
        private boolean reused;

        void send(Channel over, Call sent, Consumer<Answer> callback, boolean isReused) {
            channel = over;
            call = sent;
            answer = callback;
            reused = isReused;
            inFlight.put(sent, this);
            channel.writeAndFlush(encode(sent))
                    .addListener(
                            written -> {
                                if (written.isSuccess() && call == sent && !sent.accepted) {
                                    sent.accepted = true;
                                    day.listener().onCallAccepted(day.now(), sent);
                                }
                            });
        }

        private FullHttpRequest encode(Call sent) {
            Experiment.World world = day.experiment().world();
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            calls.method(sent),
                            "/api",
                            Unpooled.copiedBuffer(calls.body(sent), StandardCharsets.UTF_8));
            HttpHeaders headers = request.headers();
            headers.set(HttpHeaderNames.HOST, "app.svc");
            headers.set("X-Request-Id", sent.id);
            headers.set("X-Class", world.classes().get(sent.clientRequest.classIndex).name());
            if (!world.tenants().isEmpty()) {
                headers.set("X-Tenant", world.tenants().get(sent.clientRequest.tenantIndex).name());
            }
            headers.set("X-Deadline-Ms", Math.max(1, Math.round(sent.deadlineMs - day.now())));
            if (sent.idempotencyKey != null) {
                headers.set("Idempotency-Key", sent.idempotencyKey);
            }
            if (sent.isRetry) {
                headers.set("X-Retry", "1");
            }
            if (request.content().isReadable()) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            }
            return request;
        }

        /** Closes the connection; its call ends without an answer. */
        void abort() {
            call = null;
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (call == null) {
                ctx.close();
                return;
            }
            Call completed = call;
            Consumer<Answer> callback = answer;
            call = null;
            if (HttpUtil.isKeepAlive(response) && !response.decoderResult().isFailure()) {
                idle.addLast(channel);
            } else {
                ctx.close();
            }
            complete(completed, callback, read(completed, response));
        }

        private Answer read(Call completed, FullHttpResponse response) {
            int status = response.status().code();
            if (response.decoderResult().isFailure()) {
                return Answer.of(Answer.Kind.BROKEN);
            }
            if (status == 200) {
                return Answer.of(
                        response.content().toString(StandardCharsets.UTF_8).equals(completed.body)
                                ? Answer.Kind.SERVED
                                : Answer.Kind.FALSE);
            }
            if (status == 429 || status == 503) {
                return new Answer(Answer.Kind.REFUSED, retryAfterSeconds(response) * 1000);
            }
            return Answer.of(Answer.Kind.FAILED);
        }

        private double retryAfterSeconds(FullHttpResponse response) {
            try {
                return Double.parseDouble(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0"));
            } catch (NumberFormatException e) {
                // A date, which no sidecar sends: no advice.
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(ctx.channel());
            if (call == null) {
                return;
            }
            Call completed = call;
            Consumer<Answer> callback = answer;
            call = null;
            if (reused && completed.attempts == 0) {
                // The sidecar may have closed the connection before it read the request, so that is
                // sent once more on a new one.
                inFlight.remove(completed);
                completed.accepted = false;
                SidecarProcess.this.send(completed, callback, true);
            } else {
                // No attempt on a new connection: the request failed, and is not lost in the
                // sidecar.
                complete(
                        completed,
                        callback,
                        Answer.of(
                                completed.attempts == 0
                                        ? Answer.Kind.UNREACHABLE
                                        : Answer.Kind.BROKEN));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
