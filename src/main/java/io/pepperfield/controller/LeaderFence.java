package io.pepperfield.controller;

import io.pepperfield.leadership.Leadership;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.KeyValueStore;

/** Fences this controller's durable writes with its leader lease and fencing token. */
record LeaderFence(Leadership leadership, CurrentLeader currentLeader)
        implements FencedWriter.Fence {

    @Override
    public boolean holdsValidLease() {
        return currentLeader.isPresent() && leadership.holdsValidLease();
    }

    @Override
    public KeyValueStore.Precondition fencingPrecondition() {
        return leadership.fencingPrecondition();
    }
}
