package poppynotch.lab.socket;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import poppynotch.balancer.Idempotency;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ModelServer;

/**
 * The requests that callers have sent, by their ids, and their form on the wire. Model servers look
 * up here which request arrives at them. For the event loop of the day.
 */
final class CallRegistry {

    private final Experiment experiment;
    private final Map<String, Call> open = new HashMap<>();
    private int straySummary;
    private String firstStray;

    CallRegistry(Experiment experiment) {
        this.experiment = experiment;
    }

    void put(Call call) {
        open.put(call.id, call);
    }

    /** Removes a request, once no attempt of it can arrive any more. */
    void remove(Call call) {
        open.remove(call.id);
    }

    Call get(String id) {
        return open.get(id);
    }

    HttpMethod method(Call call) {
        return experiment.world().classes().get(call.clientRequest.classIndex).idempotency()
                        == Idempotency.REPEATABLE
                ? HttpMethod.GET
                : HttpMethod.POST;
    }

    /** The body of a request; an idempotent one has none. */
    String body(Call call) {
        return method(call) == HttpMethod.GET ? "" : "{\"for\":\"" + call.id + "\"}";
    }

    /** Whether a request arrived at a model server as its caller sent it. */
    boolean matches(Call call, FullHttpRequest request) {
        return request.method().equals(method(call))
                && request.uri().equals("/api")
                && request.content().toString(StandardCharsets.UTF_8).equals(body(call))
                && (call.idempotencyKey == null
                        || call.idempotencyKey.equals(request.headers().get("Idempotency-Key")));
    }

    /** Counts a request that no caller sent in this form. */
    void recordStray(String id, ModelServer modelServer) {
        straySummary++;
        if (firstStray == null) {
            firstStray = "request " + id + " at nodo " + modelServer.id;
        }
    }

    /** A line on the requests that no caller sent in that form, or null without any. */
    String straySummary() {
        return straySummary == 0
                ? null
                : straySummary
                        + " requests reached nodos that no caller sent in that form, first "
                        + firstStray;
    }
}
