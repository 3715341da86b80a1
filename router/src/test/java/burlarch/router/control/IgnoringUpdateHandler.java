package burlarch.router.control;

import burlarch.coordination.registry.MergedInstanceView;

/** Update handler that does nothing and reports success; tests override the methods that they observe. */
class IgnoringUpdateHandler implements ControllerLinks.UpdateHandler {
    @Override
    public boolean onConfiguration(long version, byte[] json) {
        return true;
    }

    @Override
    public void onInstances(MergedInstanceView instances) {}

    @Override
    public void onRouterCount(int liveRouters) {}

    @Override
    public void onControllerLost() {}

    @Override
    public void onPrefixCacheBatch(byte[] batch) {}
}
