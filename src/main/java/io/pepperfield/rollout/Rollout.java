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
 * The rollout of stored-state versions on one controller. All methods run on the event loop; {@link
 * #attach} must be called before any other method.
 */
public final class Rollout {

    /** Path of the operators' requests that read or change the rollout. */
    public static final String PATH = "/api/rollout";

    private final Loop loop;
    private final Settings settings;
    private final KeyValueStore store;
    private final VersionGate gate;
    private final VersionedKeyValueStore versionedStore;
    private final MemberRegistry memberRegistry;
    private final MemberDeclaration memberDeclaration;
    private LeadershipView leadership;
    private RolloutRequestHandler requestHandler;
    private RollbackRewriter rollbackRewriter;

    /**
     * Creates the rollout of one controller.
     *
     * @param store the state service, without conversion between versions
     * @param release the release of this program
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
     * Supplies the objects that are created after the rollout.
     *
     * @param leadership leadership of this node; only the leader changes the version
     * @param jobSpecs returns the specification of an accepted job by its id, or null
     */
    public void attach(LeadershipView leadership, Function<String, JobSpec> jobSpecs) {
        this.leadership = leadership;
        VersionTransitions versions =
                new VersionTransitions(store, gate, versionedStore, memberRegistry, leadership);
        requestHandler =
                new RolloutRequestHandler(
                        gate, versionedStore, memberRegistry, versions, leadership);
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

    /** The view of the state service that the rest of the program uses. */
    public KeyValueStore keyValueStore() {
        return versionedStore;
    }

    /** The gate that behaviour depending on the stored-state version has to check. */
    public VersionGate gate() {
        return gate;
    }

    /** The limits of a transaction through {@link #keyValueStore}. */
    public TransactionLimits transactionLimits() {
        return new VersionedTransactionLimits(
                settings.deployment().storeLimits().maxTransactionOps(), gate);
    }

    /** Tasks in a run record of a new job, given their number in the version 1 format. */
    public int tasksPerRecord(int inVersionOne) {
        return gate.writesCompactRunRecords()
                ? CompactRunRecordCodec.TASKS_PER_RECORD_FACTOR * inVersionOne
                : inVersionOne;
    }

    /** Handles a change in the replica of a key below {@link Keys#ROLLOUT_PREFIX}. */
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

    /**
     * Runs due work; called several times within a grant's time to live once the replica is loaded.
     */
    public void tick() {
        gate.markReplicaLoaded();
        memberDeclaration.tick();
        if (gate.mayServe()
                && gate.version().phase() == Phase.ROLLING_BACK
                && leadership.holdsValidLease()) {
            rollbackRewriter.tick();
        }
    }

    /** Handles an operator's request to {@link #PATH} or a path below it. */
    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        requestHandler.handle(request, answer);
    }
}
