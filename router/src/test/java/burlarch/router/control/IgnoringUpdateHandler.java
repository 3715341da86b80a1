package burlarch.router.control;

import burlarch.coordination.registry.MergedInstanceView;

/** Puts nothing into effect and says that it did; a test overrides what it looks at. */
class IgnoringUpdateHandler implements ControllerLinks.UpdateHandler {
    @Override
    public boolean onConfiguration(long version, byte[] json) {
        return true;
    }

    @Override
    public void onInstances(MergedInstanceView views) {}

    @Override
    public void onRouterCount(int live) {}

    @Override
    public void onControllerLost() {}

    @Override
    public void onPrefixCacheBatch(byte[] batch) {}
}
