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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.SidecarPort;
import poppynotch.lab.world.SimulatedDay;

/** A real sidecar process, and its callers' connections to it. */
final class SidecarProcess implements SidecarPort {

    /** How often a sidecar is asked whether it is ready. */
    private static final double READY_POLL_MS = 50;

    /** A start that takes longer has failed: the platform waits no longer either. */
    private static final double START_LIMIT_MS = 30_000;

    private static final int MOST_ANSWER = 1 << 20;

    /** A request stays known for so long after its end: copies of it may be under way. */
    private static final double REMEMBERED_MS = 10_000;

    private final EventLoop loop;
    private final SimulatedDay scene;
    private final Calls calls;
    private final InetSocketAddress address;

    /** The process, once it is started. */
    private final CompletableFuture<Process> process;

    private final int number;
    private final int zone;
    private final Bootstrap bootstrap;
    private final Deque<Channel> idle = new ArrayDeque<>();
    private final Map<Call, Connection> inHand = new HashMap<>();
    private boolean ended;
    private final double startedAt;

    SidecarProcess(
            EventLoop loop,
            SimulatedDay scene,
            Calls calls,
            InetSocketAddress address,
            int number,
            int zone,
            ProcessBuilder builder,
            Path log,
            Executor starter,
            Runnable ready) {
        this.loop = loop;
        this.scene = scene;
        this.calls = calls;
        this.address = address;
        this.number = number;
        this.zone = zone;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        fresh.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(MOST_ANSWER),
                                                        new Connection());
                                    }
                                });
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                log == null
                        ? ProcessBuilder.Redirect.DISCARD
                        : ProcessBuilder.Redirect.to(log.toFile()));
        startedAt = scene.now();
        // Starting a process takes tens of milliseconds, which the loop that plays the world has
        // not.
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
        process.whenComplete(
                (started, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure != null) {
                                        ends(
                                                "could not be started: "
                                                        + failure.getCause().getMessage());
                                    } else {
                                        started.onExit()
                                                .thenRun(
                                                        () ->
                                                                loop.execute(
                                                                        () ->
                                                                                ends(
                                                                                        "ended by"
                                                                                            + " itself"
                                                                                            + " with"
                                                                                            + " status"
                                                                                            + " "
                                                                                                + started
                                                                                                        .exitValue())));
                                    }
                                }));
        askReady(ready);
    }

    CompletableFuture<Process> process() {
        return process;
    }

    private void ends(String how) {
        if (!ended) {
            ended = true;
            scene.facts().crashed(scene.now(), number, how);
        }
    }

    private void askReady(Runnable ready) {
        if (ended) {
            return;
        }
        if (scene.now() - startedAt > START_LIMIT_MS) {
            scene.facts().crashed(scene.now(), number, "was not ready after 30 s");
            return;
        }
        boolean[] yes = new boolean[1];
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel fresh) {
                                fresh.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MOST_ANSWER),
                                                new SimpleChannelInboundHandler<
                                                        FullHttpResponse>() {
                                                    @Override
                                                    protected void channelRead0(
                                                            ChannelHandlerContext ctx,
                                                            FullHttpResponse answer) {
                                                        yes[0] = answer.status().code() == 200;
                                                        ctx.close();
                                                    }

                                                    @Override
                                                    public void exceptionCaught(
                                                            ChannelHandlerContext ctx,
                                                            Throwable cause) {
                                                        ctx.close();
                                                    }
                                                });
                            }
                        })
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                FullHttpRequest ask =
                                        new DefaultFullHttpRequest(
                                                HttpVersion.HTTP_1_1,
                                                HttpMethod.GET,
                                                "/health/ready",
                                                Unpooled.EMPTY_BUFFER);
                                ask.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
                                connected.channel().writeAndFlush(ask);
                            }
                            connected
                                    .channel()
                                    .closeFuture()
                                    .addListener(
                                            closed -> {
                                                if (yes[0] && !ended) {
                                                    ready.run();
                                                } else {
                                                    scene.time()
                                                            .after(
                                                                    READY_POLL_MS,
                                                                    () -> askReady(ready));
                                                }
                                            });
                        });
    }

    @Override
    public void request(Call call, Consumer<Answer> answer) {
        call.sidecar = number;
        call.sidecarZone = zone;
        calls.put(call);
        send(call, answer, false);
    }

    private void send(Call call, Consumer<Answer> answer, boolean freshOnly) {
        Channel kept = freshOnly ? null : idle.pollLast();
        while (kept != null && !kept.isActive()) {
            kept = idle.pollLast();
        }
        if (kept != null) {
            kept.pipeline().get(Connection.class).begin(kept, call, answer, true);
            return;
        }
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                conclude(call, answer, Answer.of(Answer.Kind.UNREACHABLE));
                            } else if (call.over) {
                                connected.channel().close();
                            } else {
                                connected
                                        .channel()
                                        .pipeline()
                                        .get(Connection.class)
                                        .begin(connected.channel(), call, answer, false);
                            }
                        });
    }

    private void conclude(Call call, Consumer<Answer> to, Answer answer) {
        inHand.remove(call);
        scene.time().after(REMEMBERED_MS, () -> calls.remove(call));
        to.accept(answer);
    }

    @Override
    public void abandon(Call call) {
        Connection connection = inHand.remove(call);
        scene.time().after(REMEMBERED_MS, () -> calls.remove(call));
        if (connection != null) {
            connection.leave();
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

        void begin(Channel over, Call asked, Consumer<Answer> to, boolean again) {
            channel = over;
            call = asked;
            answer = to;
            reused = again;
            inHand.put(asked, this);
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            calls.method(asked),
                            "/api",
                            Unpooled.copiedBuffer(calls.body(asked), StandardCharsets.UTF_8));
            request.headers().set(HttpHeaderNames.HOST, "app.svc");
            request.headers().set("X-Request-Id", asked.id);
            request.headers()
                    .set(
                            "X-Class",
                            scene.experiment().world().classes().get(asked.first.kind).name());
            if (!scene.experiment().world().tenants().isEmpty()) {
                request.headers()
                        .set(
                                "X-Tenant",
                                scene.experiment()
                                        .world()
                                        .tenants()
                                        .get(asked.first.tenant)
                                        .name());
            }
            request.headers()
                    .set("X-Deadline-Ms", Math.max(1, Math.round(asked.deadline - scene.now())));
            if (asked.key != null) {
                request.headers().set("Idempotency-Key", asked.key);
            }
            if (asked.resent) {
                request.headers().set("X-Retry", "1");
            }
            if (request.content().isReadable()) {
                request.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            }
            channel.writeAndFlush(request)
                    .addListener(
                            written -> {
                                if (written.isSuccess() && call == asked && !asked.taken) {
                                    asked.taken = true;
                                    scene.facts().taken(scene.now(), asked);
                                }
                            });
        }

        void leave() {
            call = null;
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (call == null) {
                ctx.close();
                return;
            }
            Call asked = call;
            Consumer<Answer> to = answer;
            call = null;
            if (HttpUtil.isKeepAlive(response) && !response.decoderResult().isFailure()) {
                idle.addLast(channel);
            } else {
                ctx.close();
            }
            conclude(asked, to, read(asked, response));
        }

        private Answer read(Call asked, FullHttpResponse response) {
            int status = response.status().code();
            if (response.decoderResult().isFailure()) {
                return Answer.of(Answer.Kind.BROKEN);
            }
            if (status == 200) {
                return Answer.of(
                        response.content().toString(StandardCharsets.UTF_8).equals(asked.body)
                                ? Answer.Kind.SERVED
                                : Answer.Kind.FALSE);
            }
            if (status == 429 || status == 503) {
                double seconds = 0;
                try {
                    seconds =
                            Double.parseDouble(
                                    response.headers().get(HttpHeaderNames.RETRY_AFTER, "0"));
                } catch (NumberFormatException e) {
                    // A date, which no sidecar sends: no advice.
                }
                return new Answer(Answer.Kind.REFUSED, seconds * 1000);
            }
            return Answer.of(Answer.Kind.FAILED);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(ctx.channel());
            if (call == null) {
                return;
            }
            Call asked = call;
            Consumer<Answer> to = answer;
            call = null;
            if (reused && asked.attempts == 0) {
                // The close may have crossed the request: it is sent once more on a new connection.
                inHand.remove(asked);
                asked.taken = false;
                send(asked, to, true);
            } else {
                // The first request on a connection that is closed unread has failed and is not
                // lost.
                conclude(
                        asked,
                        to,
                        Answer.of(
                                asked.attempts == 0
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
