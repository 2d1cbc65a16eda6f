package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.leadership.LeadershipView;
import io.pepperfield.loop.Loop;
import io.pepperfield.rollout.ClusterVersion.Phase;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.Keys;
import io.pepperfield.store.TransactionLimits;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The rollout of stored-state versions on one controller. All of it runs on the event loop; {@link
 * #attach} completes it before anything else is called.
 */
public final class Rollout {

    /** Where operators ask about the rollout and change it. */
    public static final String PATH = "/api/rollout";

    private final Loop loop;
    private final Settings settings;
    private final KeyValueStore store;
    private final VersionGate gate;
    private final VersionedKeyValueStore versionedStore;
    private final MemberRegistry memberRegistry;
    private final MemberDeclaration memberDeclaration;
    private LeadershipView leaderClaim;
    private RolloutRequestHandler requestHandler;
    private RollbackRewriter rollbackRewriter;

    /**
     * Creates the rollout of one controller.
     *
     * @param store the state service itself
     * @param release what this program reads and writes
     */
    public Rollout(Loop loop, Settings settings, KeyValueStore store, Release release) {
        this.loop = loop;
        this.settings = settings;
        this.store = store;
        this.gate = new VersionGate(release);
        this.versionedStore = new VersionedKeyValueStore(store, gate);
        this.memberRegistry = new MemberRegistry(settings);
        this.memberDeclaration =
                new MemberDeclaration(
                        loop,
                        store,
                        settings.node(),
                        release,
                        settings.deployment().workerTimings().leaseS());
    }

    /**
     * Completes it.
     *
     * @param leaderClaim of this node, which alone changes the version
     * @param jobSpecs gives the description of an accepted job, or null
     */
    public void attach(LeadershipView leaderClaim, Function<String, JobSpec> jobSpecs) {
        this.leaderClaim = leaderClaim;
        VersionTransitions versions =
                new VersionTransitions(store, gate, versionedStore, memberRegistry, leaderClaim);
        requestHandler =
                new RolloutRequestHandler(
                        gate, versionedStore, memberRegistry, versions, leaderClaim);
        Settings.StoreLimits limits = settings.deployment().storeLimits();
        rollbackRewriter =
                new RollbackRewriter(
                        loop,
                        store,
                        gate,
                        versions,
                        jobId -> Optional.ofNullable(jobSpecs.apply(jobId)),
                        limits.maxTransactionOps(),
                        limits.writesPerS());
    }

    /** The state service for the rest of the program. */
    public KeyValueStore keyValueStore() {
        return versionedStore;
    }

    /** What new behaviour asks. */
    public VersionGate gate() {
        return gate;
    }

    /** What a transaction of the rest of the program may hold. */
    public TransactionLimits transactionLimits() {
        return new VersionedTransactionLimits(
                settings.deployment().storeLimits().maxTransactionOps(), gate);
    }

    /** Tasks in a run record of a new job, where the first form has so many. */
    public int tasksPerRecord(int first) {
        return gate.writesCompactRunRecords()
                ? CompactRunRecordCodec.TASKS_PER_RECORD_FACTOR * first
                : first;
    }

    /** The replica's news of a key below {@link Keys#ROLLOUT_PREFIX}. */
    public void onKeyChanged(String key, JsonNode data, long modRevision) {
        if (key.equals(Keys.ROLLOUT_VERSION)) {
            gate.onVersionChanged(data, modRevision);
        } else if (key.startsWith(Keys.ROLLOUT_MEMBER_PREFIX)) {
            String node = key.substring(Keys.ROLLOUT_MEMBER_PREFIX.length());
            memberRegistry.onMemberChanged(node, data, modRevision);
            if (node.equals(settings.node())) {
                memberDeclaration.onDeclarationChanged(data, modRevision);
            }
        }
    }

    /** To be called a few times per grant, once the replica is loaded. */
    public void tick() {
        gate.markReplicaLoaded();
        memberDeclaration.tick();
        if (gate.mayServe()
                && gate.version().phase() == Phase.ROLLING_BACK
                && leaderClaim.holdsValidLease()) {
            rollbackRewriter.tick();
        }
    }

    /** An operator's request below {@code /api/rollout}. */
    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        requestHandler.handle(request, answer);
    }
}
