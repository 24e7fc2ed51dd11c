package org.masticpaddle.bench;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.masticpaddle.kernel.Service;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.standin.EngineSettings;
import org.masticpaddle.standin.EngineStandIn;
import org.masticpaddle.standin.InstanceListStandIn;
import org.masticpaddle.standin.LogStandIn;
import org.masticpaddle.standin.PlainServiceStandIn;
import org.masticpaddle.standin.RatingStandIn;
import org.masticpaddle.standin.StandIn;
import org.masticpaddle.standin.WeightStoreStandIn;

/** Stand-ins for the platform and the upstreams of one {@link Deployment}. Not thread-safe. */
public final class LocalPlatform implements Service {
    private static final Duration PLAIN_SERVICE_TIME = Duration.ofMillis(5);
    private static final Duration WEIGHT_LOAD_INTERVAL = Duration.ofMillis(100);

    private final LogStandIn log = new LogStandIn();
    private final InstanceListStandIn instances = new InstanceListStandIn();
    private final RatingStandIn ratings = new RatingStandIn(0.05, Map.of());
    private final WeightStoreStandIn weights = new WeightStoreStandIn(WEIGHT_LOAD_INTERVAL);
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<PlainServiceStandIn> plainServices = new ArrayList<>();

    /**
     * Creates stand-ins that have not been started.
     *
     * @param deployment deployment whose upstreams are created
     * @param versions versions that the engines can serve
     * @param loaded names of the versions that are loaded at the start
     */
    public LocalPlatform(Deployment deployment, List<EngineSettings.Version> versions, List<String> loaded) {
        for (int index = 0; index < deployment.workers(); index++) {
            engines.add(new EngineStandIn(new EngineSettings(
                    versions,
                    loaded,
                    deployment.slots(),
                    20,
                    1,
                    0.2,
                    2_000,
                    4_096,
                    16,
                    true,
                    200,
                    50,
                    deployment.timeScale())));
        }
        for (int index = 0; index < deployment.plainWorkers(); index++) {
            plainServices.add(new PlainServiceStandIn(PLAIN_SERVICE_TIME));
        }
    }

    @Override
    public void start() {
        standIns().forEach(StandIn::start);
    }

    @Override
    public void stop() {
        standIns().forEach(StandIn::stop);
    }

    private List<StandIn> standIns() {
        final List<StandIn> all = new ArrayList<>(List.of(log, instances, ratings, weights));
        all.addAll(engines);
        all.addAll(plainServices);
        return all;
    }

    /**
     * Returns the stand-in for the log.
     *
     * @return stand-in that holds the records of all streams
     */
    public LogStandIn log() {
        return log;
    }

    /**
     * Returns the stand-in for the instance list.
     *
     * @return stand-in in which processes are registered
     */
    public InstanceListStandIn instances() {
        return instances;
    }

    /**
     * Returns the stand-in for the rating service.
     *
     * @return stand-in that rates answers
     */
    public RatingStandIn ratings() {
        return ratings;
    }

    /**
     * Returns the stand-ins for the engines.
     *
     * @return one engine for each worker, by the worker's index
     */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /**
     * Returns the stand-ins for the plain service.
     *
     * @return one stand-in for each upstream, by the upstream's index
     */
    public List<PlainServiceStandIn> plainServices() {
        return List.copyOf(plainServices);
    }

    /**
     * Formats the settings that locate the platform, which are the same for all processes.
     *
     * @return section {@code [platform]} in INI format
     */
    public String platformSection() {
        return "[platform]\nlog = " + log.origin() + "\ninstances = " + instances.origin() + "\nratings = "
                + ratings.origin() + "\nweights = " + weights.origin() + "\n";
    }

    /**
     * Adds a live process to the instance list.
     *
     * @param id identifier of the instance
     * @param service service to which the process belongs
     * @param region region of the process
     * @param failureDomain failure domain of the process
     * @param address origin at which the process is reached
     */
    public void register(String id, String service, String region, String failureDomain, URI address) {
        instances.register(new Instance(id, service, region, failureDomain, address, Instance.State.LIVE));
    }
}
