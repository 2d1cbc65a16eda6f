package io.pepperfield.standin;

import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import java.util.function.Consumer;

/** The network link to the state service, on which responses can be delayed or lost. */
final class StoreLink {

    private final SimWorld world;
    private final StoreStandIn store;
    private double extraDelayS;
    private double extraDelayUntil;
    private double droppedResponseShare;
    private double dropResponsesUntil;
    private boolean applyImmediately;

    StoreLink(SimWorld world, StoreStandIn store) {
        this.world = world;
        this.store = store;
    }

    void delayResponses(double byS, double until) {
        extraDelayS = byS;
        extraDelayUntil = until;
    }

    /**
     * Drops the responses to the given share of transactions until the given time. The transactions
     * are applied after a random delay or, with {@code immediately}, without one.
     */
    void dropTransactionResponses(double share, double until, boolean immediately) {
        droppedResponseShare = share;
        dropResponsesUntil = until;
        applyImmediately = immediately;
    }

    void handle(String from, InboundRequest request, Consumer<HttpReply> answer) {
        if (request.path().equals("/txn")
                && world.now() < dropResponsesUntil
                && world.random.nextDouble() < droppedResponseShare) {
            double delayS =
                    applyImmediately
                            ? 0
                            : Fault.DelayedWrites.MIN_DELAY_S
                                    + world.random.nextDouble()
                                            * (Fault.DelayedWrites.MAX_DELAY_S
                                                    - Fault.DelayedWrites.MIN_DELAY_S);
            world.after(delayS, () -> store.handle(from, request, droppedReply -> {}));
        } else if (world.now() < extraDelayUntil) {
            double responseDelayS = extraDelayS;
            store.handle(
                    from,
                    request,
                    reply -> world.after(responseDelayS, () -> answer.accept(reply)));
        } else {
            store.handle(from, request, answer);
        }
    }
}
