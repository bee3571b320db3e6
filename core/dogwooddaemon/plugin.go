package dogwooddaemon

// The names of the plug-ins and of their loggers.
const (
	pluginPlatform  = "platform"
	pluginPeer      = "peer"
	pluginChanges   = "changes"
	pluginMembers   = "members"
	pluginClaims    = "claims"
	pluginEngine    = "engine"
	pluginOwner     = "owner"
	pluginReconcile = "reconcile"
	pluginQuotas    = "quotas"
	pluginOrders    = "orders"
	pluginDispatch  = "dispatch"
	pluginCaller    = "caller"
	pluginBurn      = "burn"
	pluginAdmin     = "admin"
	pluginServe     = "serve"
)
