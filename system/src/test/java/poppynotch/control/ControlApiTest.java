package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutRequest;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** The responses to servers and operators. Guards against malformed requests with an effect. */
class ControlApiTest {

    private static final String VALID_CONFIG = "{\"Generation\":1,\"Routes\":[],\"Backends\":[]}";

    /** Records the calls, and answers each with a preset result. */
    private static class RecordingService implements ControlApi.Service {
        final List<ServerRecord> registered = new ArrayList<>();
        final List<String> deregistered = new ArrayList<>();
        final List<RolloutRequest> orders = new ArrayList<>();
        RolloutReadResult readResult = new RolloutReadResult.Unknown();
        int submittedChanges;
        OperatorChangeResult result = new OperatorChangeResult.Applied(1);
        boolean acknowledges = true;

        @Override
        public void submitChange(ConfigChange change, Consumer<OperatorChangeResult> callback) {
            submittedChanges++;
            callback.accept(result);
        }

        @Override
        public void readConfig(Consumer<ControlApi.Response> callback) {
            callback.accept(ControlApi.Response.of(HttpResponseStatus.OK, VALID_CONFIG));
        }

        @Override
        public void submitRollout(RolloutRequest request, Consumer<OperatorChangeResult> callback) {
            orders.add(request);
            callback.accept(result);
        }

        @Override
        public void readRollout(String backend, Consumer<RolloutReadResult> callback) {
            callback.accept(backend.equals("a b") ? readResult : new RolloutReadResult.None());
        }

        @Override
        public void register(ServerRecord server, Consumer<Boolean> callback) {
            registered.add(server);
            callback.accept(acknowledges);
        }

        @Override
        public void deregister(String id, Consumer<Boolean> callback) {
            deregistered.add(id);
            callback.accept(acknowledges);
        }

        @Override
        public String status() {
            return "{}";
        }
    }

    private final RecordingService service = new RecordingService();

    private int call(HttpMethod method, String uri, String ifMatch, String body) {
        EmbeddedChannel channel =
                new EmbeddedChannel(new ControlApi(service, new ApiCallLog(() -> 0)));
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        method,
                        uri,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        if (ifMatch != null) {
            request.headers().set(HttpHeaderNames.IF_MATCH, ifMatch);
        }
        channel.writeInbound(request);
        FullHttpResponse response = channel.readOutbound();
        String text = response.content().toString(StandardCharsets.UTF_8);
        assertWithMessage("lines of the response").that(text.lines().count()).isEqualTo(1);
        return response.status().code();
    }

    private int register(String body) {
        return call(HttpMethod.PUT, "/poppynotch/instances/i-1", null, body);
    }

    @Test
    void passesOnRegistrationDrainAndRemovalOfServer() {
        String body =
                "{\"Backend\":\"s\",\"Address\":\"10.0.0.1:80\",\"Slots\":4,\"Sequence\":7,\"New\":{}}";
        assertThat(register(body)).isEqualTo(200);
        assertThat(register(body.replace("\"Slots\"", "\"State\":\"draining\",\"Slots\"")))
                .isEqualTo(200);
        assertThat(call(HttpMethod.DELETE, "/poppynotch/instances/i-1", null, "")).isEqualTo(200);
        assertThat(service.registered.get(0))
                .isEqualTo(
                        new ServerRecord("i-1", "s", "10.0.0.1:80", "", 4, ServerState.READY, 7));
        assertThat(service.registered.get(1).state()).isEqualTo(ServerState.DRAINING);
        assertThat(service.deregistered).containsExactly("i-1");
    }

    @Test
    void registrationCarriesTheVersionOfTheServer() {
        String body = "{\"Backend\":\"s\",\"Address\":\"10.0.0.1:80\",\"Generation\":\"v2\"}";
        assertThat(register(body)).isEqualTo(200);
        assertThat(register(body.replace("\"v2\"", "7"))).isEqualTo(200);
        assertThat(register(body.replace("\"v2\"", "null"))).isEqualTo(200);
        assertThat(service.registered.stream().map(ServerRecord::version))
                .containsExactly("v2", "7", "")
                .inOrder();
    }

    /** Guards against a call of the operators' API that is not supported and answered with 404. */
    @Test
    void answersRolloutOrders() {
        String order = "{\"Backend\":\"s\",\"TargetVersion\":\"v2\",\"TermS\":12}";
        String path = "/poppynotch/rollouts";
        assertThat(call(HttpMethod.POST, path, null, order)).isEqualTo(200);
        assertThat(service.orders).containsExactly(new RolloutRequest("s", "v2", 12_000));
        service.result = new OperatorChangeResult.Conflict(1);
        assertThat(call(HttpMethod.POST, path, null, order)).isEqualTo(409);
        service.result = new OperatorChangeResult.Invalid("unknown service");
        assertThat(call(HttpMethod.POST, path, null, order)).isEqualTo(422);
        service.result = new OperatorChangeResult.Unclear();
        assertThat(call(HttpMethod.POST, path, null, order)).isEqualTo(503);
        assertThat(call(HttpMethod.POST, path, null, "{}")).isEqualTo(400);
        assertThat(call(HttpMethod.GET, path, null, "")).isEqualTo(405);
    }

    @Test
    void answersReadsOfRollouts() {
        String path = "/poppynotch/rollouts/a%20b";
        assertThat(call(HttpMethod.GET, path, null, "")).isEqualTo(503);
        service.readResult = new RolloutReadResult.Found(Rollout.ordered(1, "v2", 9));
        assertThat(call(HttpMethod.GET, path, null, "")).isEqualTo(200);
        assertThat(call(HttpMethod.GET, "/poppynotch/rollouts/other", null, "")).isEqualTo(404);
        assertThat(call(HttpMethod.GET, "/poppynotch/rollouts/%zz", null, "")).isEqualTo(404);
        assertThat(call(HttpMethod.DELETE, path, null, "")).isEqualTo(405);
    }

    /** Guards against a stack that grows with the number of waiting requests. */
    @Test
    void answersManyWaitingRequestsOnceTheFirstIsReady() {
        List<Runnable> ready = new ArrayList<>();
        RecordingService firstIsSlow =
                new RecordingService() {
                    @Override
                    public void readConfig(Consumer<ControlApi.Response> callback) {
                        if (ready.isEmpty()) {
                            ready.add(() -> super.readConfig(callback));
                        } else {
                            super.readConfig(callback);
                        }
                    }
                };
        EmbeddedChannel channel =
                new EmbeddedChannel(new ControlApi(firstIsSlow, new ApiCallLog(() -> 0)));
        int requests = 20_000;
        for (int i = 0; i < requests; i++) {
            channel.writeInbound(
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, "/poppynotch/config"));
        }
        ready.get(0).run();
        for (int i = 0; i < requests; i++) {
            FullHttpResponse response = channel.readOutbound();
            assertThat(response.status().code()).isEqualTo(200);
            response.release();
        }
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    /** Reading pauses, and the connection stays open, while many requests wait for a response. */
    @Test
    void pausesReadingWhileManyRequestsWait() {
        List<Runnable> ready = new ArrayList<>();
        RecordingService slow =
                new RecordingService() {
                    @Override
                    public void readConfig(Consumer<ControlApi.Response> callback) {
                        ready.add(() -> super.readConfig(callback));
                    }
                };
        EmbeddedChannel channel =
                new EmbeddedChannel(new ControlApi(slow, new ApiCallLog(() -> 0)));
        int requests = 2 * ControlApi.MAX_WAITING_REQUESTS;
        for (int i = 0; i < requests; i++) {
            channel.writeInbound(
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, "/poppynotch/config"));
        }
        assertThat(channel.isOpen()).isTrue();
        assertThat(channel.config().isAutoRead()).isFalse();
        for (int i = 0; i < requests; i++) {
            ready.get(i).run();
            FullHttpResponse response = channel.readOutbound();
            assertThat(response.status().code()).isEqualTo(200);
            response.release();
        }
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    /** Responses that are ready at different times go out in the order of their requests. */
    @Test
    void answersPipelinedRequestsInTheirOrder() {
        List<Runnable> ready = new ArrayList<>();
        RecordingService slow =
                new RecordingService() {
                    @Override
                    public void submitChange(
                            ConfigChange change, Consumer<OperatorChangeResult> callback) {
                        submittedChanges++;
                        ready.add(() -> callback.accept(new OperatorChangeResult.Conflict(5)));
                    }
                };
        EmbeddedChannel channel =
                new EmbeddedChannel(new ControlApi(slow, new ApiCallLog(() -> 0)));
        channel.writeInbound(request(HttpMethod.PUT, "/poppynotch/config", VALID_CONFIG));
        channel.writeInbound(request(HttpMethod.GET, "/poppynotch/config", ""));
        channel.writeInbound(request(HttpMethod.DELETE, "/poppynotch/instances/i-1", ""));
        channel.writeInbound(request(HttpMethod.PUT, "/poppynotch/config", VALID_CONFIG));
        channel.writeInbound(request(HttpMethod.GET, "/none", ""));
        assertThat((Object) channel.readOutbound()).isNull();
        assertThat(slow.submittedChanges).isEqualTo(1);
        ready.remove(0).run();
        assertThat(statuses(channel)).containsExactly(412, 200, 200).inOrder();
        ready.remove(0).run();
        assertThat(statuses(channel)).containsExactly(412, 404).inOrder();
    }

    @Test
    void releasesWaitingRequestsWhenConnectionCloses() {
        RecordingService slow =
                new RecordingService() {
                    @Override
                    public void submitChange(
                            ConfigChange change, Consumer<OperatorChangeResult> callback) {
                        submittedChanges++;
                    }
                };
        EmbeddedChannel channel =
                new EmbeddedChannel(new ControlApi(slow, new ApiCallLog(() -> 0)));
        channel.writeInbound(request(HttpMethod.PUT, "/poppynotch/config", VALID_CONFIG));
        FullHttpRequest waiting = request(HttpMethod.PUT, "/poppynotch/config", VALID_CONFIG);
        channel.writeInbound(waiting);
        channel.close();
        assertThat(waiting.refCnt()).isEqualTo(0);
        assertThat(slow.submittedChanges).isEqualTo(1);
    }

    private static FullHttpRequest request(HttpMethod method, String uri, String body) {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    private static List<Integer> statuses(EmbeddedChannel channel) {
        List<Integer> statuses = new ArrayList<>();
        for (FullHttpResponse next = channel.readOutbound();
                next != null;
                next = channel.readOutbound()) {
            statuses.add(next.status().code());
        }
        return statuses;
    }

    @Test
    void answersUnavailableWhenRegistrationIsNotAcknowledged() {
        service.acknowledges = false;
        assertThat(register("{\"Backend\":\"s\",\"Address\":\"10.0.0.1:80\"}")).isEqualTo(503);
    }

    @Test
    void rejectsMalformedRegistrations() {
        assertThat(register("")).isEqualTo(400);
        assertThat(register("[]")).isEqualTo(400);
        assertThat(register("{\"Backend\":\"s\"}")).isEqualTo(400);
        assertThat(register("{\"Backend\":7,\"Address\":\"10.0.0.1:80\"}")).isEqualTo(400);
        assertThat(register("{\"Backend\":\"s\",\"Address\":\"nowhere\"}")).isEqualTo(400);
        assertThat(register("{\"Backend\":\"s\",\"Address\":\"name.example:80\"}")).isEqualTo(400);
        assertThat(register("{\"Backend\":\"s\",\"Address\":\"10.0.0.1:99999\"}")).isEqualTo(400);
        assertThat(register("{\"Backend\":\"s\",\"Address\":\"10.0.0.300:80\"}")).isEqualTo(400);
        assertThat(register("{\"Backend\":\"s\",\"Address\":\"10.0.0.-1:80\"}")).isEqualTo(400);
        assertThat(service.registered).isEmpty();
    }

    /** Guards against a server whose slots or sequence wrap around. */
    @Test
    void clampsNumbersOfRegistrations() {
        String body =
                "{\"Backend\":\"s\",\"Address\":\"10.0.0.1:80\",\"Slots\":4294967300,"
                        + "\"Sequence\":9223372036854775808}";
        assertThat(register(body)).isEqualTo(200);
        assertThat(service.registered.get(0).slots()).isEqualTo(Integer.MAX_VALUE);
        assertThat(service.registered.get(0).sequence()).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against ids that differ from those by which servers know themselves. */
    @Test
    void decodesIdsInPaths() {
        String body = "{\"Backend\":\"s\",\"Address\":\"10.0.0.1:80\"}";
        String received =
                new String("ş".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        for (String id : new String[] {"i-1", "a%2Db", "a+b", "%C5%9F", received}) {
            call(HttpMethod.PUT, "/poppynotch/instances/" + id, null, body);
        }
        assertThat(service.registered.stream().map(ServerRecord::id))
                .containsExactly("i-1", "a-b", "a+b", "ş", "ş")
                .inOrder();
        assertThat(call(HttpMethod.PUT, "/poppynotch/instances/a%0Ab", null, body)).isEqualTo(400);
        assertThat(call(HttpMethod.DELETE, "/poppynotch/instances/", null, "")).isEqualTo(400);
        assertThat(service.registered).hasSize(5);
        assertThat(service.deregistered).isEmpty();
    }

    @Test
    void answersChangesByTheirResult() {
        assertThat(call(HttpMethod.PUT, "/poppynotch/config", "0", VALID_CONFIG)).isEqualTo(200);
        service.result = new OperatorChangeResult.Conflict(5);
        assertThat(call(HttpMethod.PATCH, "/poppynotch/config", "4", VALID_CONFIG)).isEqualTo(412);
        service.result = new OperatorChangeResult.Invalid("why");
        assertThat(call(HttpMethod.PATCH, "/poppynotch/config", "4", VALID_CONFIG)).isEqualTo(400);
        service.result = new OperatorChangeResult.Unclear();
        assertThat(call(HttpMethod.PUT, "/poppynotch/config", "4", VALID_CONFIG)).isEqualTo(503);
        assertThat(service.submittedChanges).isEqualTo(4);
    }

    @Test
    void rejectsMalformedChangesWithoutSubmittingThem() {
        assertThat(call(HttpMethod.PUT, "/poppynotch/config", "x", VALID_CONFIG)).isEqualTo(400);
        assertThat(call(HttpMethod.PUT, "/poppynotch/config", "0", VALID_CONFIG.substring(0, 20)))
                .isEqualTo(400);
        assertThat(call(HttpMethod.PUT, "/poppynotch/config", "0", "{\"Routes\":[]}"))
                .isEqualTo(400);
        assertThat(call(HttpMethod.PATCH, "/poppynotch/config", "0", "{\"Generation\":1.5}"))
                .isEqualTo(400);
        assertThat(call(HttpMethod.POST, "/poppynotch/config", "0", VALID_CONFIG)).isEqualTo(405);
        assertThat(call(HttpMethod.GET, "/poppynotch/other", null, "")).isEqualTo(404);
        assertThat(service.submittedChanges).isEqualTo(0);
    }
}
